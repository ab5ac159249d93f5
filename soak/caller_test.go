package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	callerTimeout = 6 * time.Second
	// maxAnswer is the size of an answer at which a caller stops reading and closes the connection, in bytes.
	maxAnswer = 1 << 20
)

// call is a caller's request; from is the first event that is asked for.
type call struct {
	id       string
	kind     string
	instance int
	from     int
	// http10 calls use HTTP/1.0, single calls close their connection.
	http10 bool
	single bool
	// leaves is set if the caller leaves after some events. resumes is the id of the call whose stream this one takes up after its
	// first events, which are of a version.
	leaves  bool
	resumes string
	version string
	// slow calls read an answer some bytes at a time, pausing calls stop reading for a time.
	slow    bool
	pausing bool
	// bad calls have a part in their prompts that crashes upstreams.
	bad bool
	// padding is the length of what follows the text in the body.
	padding int
}

// bodyOf returns the body of a request: a text that names it, and padding.
func bodyOf(id string, padding int) string {
	return "body of " + id + strings.Repeat("x", padding)
}

// newCall returns a caller's call by its number. The periods have no common factor, so that all combinations occur.
func newCall(number, at int) call {
	kinds := []string{"draft", "post", "look", "resume", "resume3"}
	cl := call{kind: kinds[at%len(kinds)], instance: (number + at/20) % instances, http10: at%7 == 3, single: at%11 == 5}
	cl.id = fmt.Sprintf("c%d-%d@%d", number, at, cl.instance)
	cl.leaves = routeKinds[cl.kind].resumable && at%9 == 4
	cl.slow, cl.pausing = at%13 == 6, at%17 == 8
	return cl
}

// sendRequests sends requests over persistent connections until ctx ends and counts the answers by status.
func (fl *fleet) sendRequests(ctx context.Context, number int, counts *sync.Map) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for at := 0; ctx.Err() == nil; at++ {
		status := fl.send(client, newCall(number, at))
		count, _ := counts.LoadOrStore(status, new(int))
		fl.mu.Lock()
		*count.(*int)++
		fl.mu.Unlock()
	}
}

// newRequest returns the HTTP request of a call.
func (fl *fleet) newRequest(cl call) (*http.Request, error) {
	body := io.NopCloser(strings.NewReader(bodyOf(cl.id, cl.padding)))
	request, err := http.NewRequest(http.MethodPost, "http://"+fl.addresses[cl.instance]+"/"+cl.kind+"/1", body)
	if err != nil {
		return nil, err
	}
	request.Host = "h"
	request.Close = cl.single
	for name, value := range map[string]string{
		"Turmericdoor-Attempt-Id": cl.id, "Turmericdoor-Deadline-Ms": "5000", "Authorization": "Token k",
		"Turmericdoor-Pieces": "2", "Turmericdoor-Piece-Key": "k-" + cl.id,
	} {
		request.Header.Set(name, value)
	}
	if cl.padding > 0 {
		request.Header.Set(paddingHeader, strconv.Itoa(cl.padding))
	}
	if routeKinds[cl.kind].streaming {
		request.Header.Set(prefixHeader, cl.prefix())
	}
	if cl.from > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(cl.from-1))
		request.Header.Set(fromHeader, strconv.Itoa(cl.from-1))
		request.Header.Set(resumesHeader, cl.resumes)
	}
	return request, nil
}

// send sends one request and checks its answer; it returns the status, or 0 if there was no answer.
func (fl *fleet) send(client *http.Client, cl call) int {
	request, err := fl.newRequest(cl)
	if err != nil {
		fl.ledger.violation("create request %s: %v", cl.id, err)
		return 0
	}
	if cl.http10 {
		client = &http.Client{Timeout: callerTimeout, Transport: http10Transport{}}
	}
	response, err := client.Do(request)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return 0
	}
	defer response.Body.Close()
	fl.ledger.recordTold(cl.instance, response.Header)
	body, err := readAnswer(cl, response)
	fl.checkAnswer(cl, response, body, err != nil)
	if err != nil && response.StatusCode == http.StatusOK {
		_ = response.Body.Close()
		fl.takeUp(client, cl, body)
	}
	return response.StatusCode
}

// checkAnswer checks a caller's answer; cut tells that its end shows that it isn't complete.
func (fl *fleet) checkAnswer(cl call, response *http.Response, body string, cut bool) {
	switch response.StatusCode {
	case http.StatusOK:
		fl.checkBody(cl, response.Header.Get("Turmericdoor-Response-Seal"), body, cut)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		fl.ledger.recordNotRun(cl.id, response.StatusCode, routeKinds[cl.kind].limit == 1)
		time.Sleep(10 * time.Millisecond)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden:
		isLate := response.StatusCode == http.StatusUnauthorized && fl.ledger.mayLackKey(cl.instance)
		if response.Header.Get(errorHeader) == "" && !isLate {
			fl.ledger.violation("request %s was answered with status %d", cl.id, response.StatusCode)
		}
		time.Sleep(10 * time.Millisecond)
	default:
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			fl.ledger.violation("request %s was answered with status %d, which is none", cl.id, response.StatusCode)
		}
	}
}

// checkBody checks that a complete answer holds each event of one run once and in order, and a cut one the first of them.
func (fl *fleet) checkBody(cl call, seal, body string, cut bool) {
	count := strings.Count(body, "data: "+cl.id+"\n")
	fault := findFault(cl, seal, body, fl.ledger.hasJunk(cl.id))
	switch {
	case seal == "":
		fault = "no signature"
	case !cut && count != eventCount-cl.from:
		fault = fmt.Sprintf("%d events", count)
	case !cut && !strings.HasSuffix(body, "\n\n"):
		fault = "an incomplete event at the end"
	}
	if fault != "" {
		kind := fmt.Sprintf("HTTP/1.0 %t, cut %t, got a 200 with %s", cl.http10, cut, fault)
		fl.ledger.violation(kind+": request %s (%s, signature %s, upstreams' answers %v): %.300q", cl.id, cl.kind, seal, fl.ledger.answersTo(cl.id), body)
	}
}

// findFault returns what is wrong with the events of a body, or "". Only a resumable stream may hold events of several
// runs. The text after the last complete event must be the beginning of the next event, unless an upstream sent junk.
func findFault(cl call, seal, body string, junk bool) string {
	texts := strings.Split(body, "\n\n")
	last := len(texts) - 1
	for at, text := range texts[:last] {
		lines := strings.Split(text, "\n")
		isFirst := len(lines) > 1 && lines[1] == "event: "+seal
		if junk && strings.Contains(text, "x") {
			return ""
		}
		if len(lines) != 3 || lines[0] != fmt.Sprintf("id: %d", cl.from+at) || lines[2] != "data: "+cl.id {
			return fmt.Sprintf("a wrong event at %d", cl.from+at)
		}
		if !isFirst && (at == 0 || !routeKinds[cl.kind].resumable) {
			return fmt.Sprintf("an event of another run at %d", cl.from+at)
		}
	}
	if fault := checkVersions(cl, texts[:last]); fault != "" && routeKinds[cl.kind].streaming {
		return fault
	}
	if last > eventCount-cl.from {
		return fmt.Sprintf("%d events", last)
	}
	if !junk && !isBeginning(texts[last], cl.from+last, cl.id) {
		return "foreign bytes at the end"
	}
	return ""
}

// isBeginning reports whether a text is the beginning of an event.
func isBeginning(text string, number int, id string) bool {
	first, rest, _ := strings.Cut(text, "\n")
	if expected := fmt.Sprintf("id: %d", number); rest == "" {
		return strings.HasPrefix(expected, first)
	} else if first != expected {
		return false
	}
	second, third, hasThird := strings.Cut(rest, "\n")
	if !hasThird {
		return strings.HasPrefix("event: ", second) || strings.HasPrefix(second, "event: ")
	}
	return strings.HasPrefix(second, "event: ") && strings.HasPrefix("data: "+id+"\n\n", third)
}

// http10Transport sends each request with HTTP/1.0 over a connection of its own. Such a response has no chunks: if it has
// no length either, it ends with the connection.
type http10Transport struct{}

// RoundTrip sends a request and returns the response before its body is read.
func (http10Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	conn, err := net.Dial("tcp", request.URL.Host)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	text := &bytes.Buffer{}
	_, _ = fmt.Fprintf(text, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.Method, request.URL.Path, request.Host, len(body))
	_ = request.Header.Write(text)
	_, _ = fmt.Fprintf(text, "\r\n%s", body)
	_, _ = conn.Write(text.Bytes())
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	response.Body = connectionBody{Reader: response.Body, Closer: conn}
	return response, nil
}

// connectionBody is a response body that closes its connection.
type connectionBody struct {
	io.Reader
	io.Closer
}
