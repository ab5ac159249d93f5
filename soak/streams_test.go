package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// resumesHeader names the attempt that brought the first event of a stream.
	resumesHeader = "Resumes"
	// eventsBeforeLeaving is the number of events after which some callers leave and take their stream up again.
	eventsBeforeLeaving = 2
)

// softwareVersion returns the software version of an upstream: two versions serve side by side.
func softwareVersion(id string) string {
	if strings.HasPrefix(id, "model-") && strings.TrimPrefix(id, "model-") >= "2" {
		return "v2"
	}
	return "v1"
}

// eventVersion returns the version of the upstream that sent an event, which names its run, or "".
func eventVersion(event string) string {
	lines := strings.Split(event, "\n")
	if len(lines) != 3 {
		return ""
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(lines[1], "event: "), ".")
	return softwareVersion(id)
}

// checkVersions returns what is wrong with the versions of a body's whole events, or "".
func checkVersions(cl call, texts []string) string {
	expected := cl.version
	for at, text := range texts {
		version := eventVersion(text)
		if expected == "" {
			expected = version
		}
		if version != expected {
			return fmt.Sprintf("an event of version %s after version %s at %d", version, expected, cl.from+at)
		}
	}
	return ""
}

// readAnswer reads the body of an answer, or its first events if the caller then leaves. The error is that of the connection.
func readAnswer(cl call, response *http.Response) (string, error) {
	if cl.slow || cl.pausing {
		response.Body = &slowBody{ReadCloser: response.Body, pausing: cl.pausing}
	}
	if !cl.leaves || response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
		if err == nil && len(body) == maxAnswer {
			err = fmt.Errorf("answer of %d bytes or more", maxAnswer)
		}
		return string(body), err
	}
	text, reader := "", bufio.NewReader(io.LimitReader(response.Body, maxAnswer))
	for strings.Count(text, "\n\n") < eventsBeforeLeaving {
		line, err := reader.ReadString('\n')
		text += line
		if err != nil {
			return text, err
		}
	}
	return text, errLeft
}

const (
	// slowBytes is the length of the reads of a slow caller and slowGap the pause before each of the first slowReads of them.
	slowBytes = 16
	slowGap   = 10 * time.Millisecond
	slowReads = 30
	// readPause is how long a pausing caller does not read after its first read.
	readPause = time.Second
)

// slowBody is the body of an answer that its caller reads slowly.
type slowBody struct {
	io.ReadCloser

	pausing bool
	reads   int
}

// Read reads some bytes after a pause.
func (sb *slowBody) Read(buffer []byte) (int, error) {
	sb.reads++
	switch {
	case sb.pausing && sb.reads == 2:
		time.Sleep(readPause)
	case !sb.pausing && sb.reads <= slowReads:
		time.Sleep(slowGap)
		buffer = buffer[:min(slowBytes, len(buffer))]
	}
	return sb.ReadCloser.Read(buffer)
}

// errLeft is the error of an answer whose caller has left.
var errLeft = fmt.Errorf("the caller has left")

// takeUp takes up a stream at another instance after the whole events of an answer that was cut off.
func (fl *fleet) takeUp(client *http.Client, cl call, body string) {
	texts := strings.Split(body, "\n\n")
	count := len(texts) - 1
	if !routeKinds[cl.kind].resumable || count == 0 || cl.from+count >= eventCount || cl.resumes != "" {
		return
	}
	next := call{
		id: cl.id + "t", kind: cl.kind, instance: (cl.instance + 1) % instances, from: cl.from + count, resumes: cl.id, version: eventVersion(texts[0]),
	}
	status := fl.send(client, next)
	fl.ledger.mu.Lock()
	defer fl.ledger.mu.Unlock()
	fl.ledger.takenUp[strconv.Itoa(status)]++
}
