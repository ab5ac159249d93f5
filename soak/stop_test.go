package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// stopGrace is grace_s of the fleet's settings, and noticeTime the time after a SIGTERM for which a request may still be cut off, if
	// its upstream was at work until near the end of the grace period.
	stopGrace  = 4 * time.Second
	noticeTime = 3 * time.Second
	// slowWork is how long the upstream works, and longDeadline how long callers wait: longer than what is left of the grace period.
	slowWork     = 1200 * time.Millisecond
	longDeadline = 5 * time.Second
	// lastAccepted is when an instance that stops surely still accepts connections.
	lastAccepted = 2300 * time.Millisecond
	// unreadTime is how long after its last byte a request that was not passed on may end without an answer.
	unreadTime = 200 * time.Millisecond
)

// slowUpstream answers after slowWork and records the requests that reach it.
type slowUpstream struct {
	mu      sync.Mutex
	arrived map[string]bool
}

// ServeHTTP answers with three events or a short text.
func (su *slowUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Turmericdoor-Attempt-Id")
	su.mu.Lock()
	su.arrived[id] = true
	su.mu.Unlock()
	writer.Header().Set("Turmericdoor-Attempt-Id", id)
	writer.Header().Set("Turmericdoor-Response-Seal", "s")
	if !strings.HasPrefix(request.URL.Path, "/draft/") {
		time.Sleep(slowWork)
		_, _ = io.WriteString(writer, "done")
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range 3 {
		_, _ = fmt.Fprintf(writer, "id: %d\n\n", number+1)
		writer.(http.Flusher).Flush()
		time.Sleep(slowWork / 3)
	}
}

// lateRequest is a request that a caller sends while its instance stops, and its end.
type lateRequest struct {
	id     string
	sentAt time.Duration
	ended  time.Duration
	status int
	whole  bool
}

// sendLate sends a request on a connection, the last byte of its body at a time after the stop, and reads its answer.
func sendLate(connection net.Conn, id, path string, stopped time.Time, at time.Duration) lateRequest {
	lr := lateRequest{id: id}
	_ = connection.SetDeadline(time.Now().Add(longDeadline + time.Second))
	body := "body of " + id
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nTurmericdoor-Attempt-Id: %s\r\nTurmericdoor-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, id, longDeadline.Milliseconds(), len(body), body[:len(body)-1])
	time.Sleep(time.Until(stopped.Add(at)))
	if err == nil {
		_, err = io.WriteString(connection, body[len(body)-1:])
	}
	lr.sentAt = time.Since(stopped)
	if err == nil {
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			lr.status, lr.whole = response.StatusCode, err == nil
			_ = response.Body.Close()
		}
	}
	lr.ended = time.Since(stopped)
	return lr
}

// dialed returns a connection to an address.
func dialed(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// kept returns a connection that has already carried a request.
func kept(t *testing.T, address, id string) net.Conn {
	t.Helper()
	connection := dialed(t, address)
	first := sendLate(connection, id, "/none/", time.Now(), 0)
	must.Eq(t, http.StatusNotFound, first.status)
	return connection
}

// TestLateRequestsInAStop guards against requests that an instance takes late in its grace period, passes on and cuts off at its end:
// on kept connections, on new ones, on ones that were opened long before and not used yet, and with bodies that take long.
func TestLateRequestsInAStop(t *testing.T) {
	for _, path := range []string{"/post/1", "/look/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			playLateRequests(t, path)
		})
	}
}

func playLateRequests(t *testing.T, path string) {
	su := &slowUpstream{arrived: map[string]bool{}}
	server := httptest.NewServer(su)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	cf := newCalmFleet(t, []string{buildProgram(t)}, map[string]string{"plain-0": address, "model-0": address})
	front := cf.addresses[0]

	times := []time.Duration{}
	for at := 100 * time.Millisecond; at < stopGrace; at += 150 * time.Millisecond {
		times = append(times, at)
	}
	keptConns := []net.Conn{}
	for number := range times {
		keptConns = append(keptConns, kept(t, front, fmt.Sprint("before-", number)))
	}
	stopped := time.Now()
	must.NoError(t, cf.process(0).Process.Signal(syscall.SIGTERM))
	mu, results, senders := sync.Mutex{}, []lateRequest{}, sync.WaitGroup{}
	send := func(kind string, number int, connection net.Conn) {
		late := sendLate(connection, fmt.Sprint(kind, "-", number), path, stopped, times[number])
		mu.Lock()
		defer mu.Unlock()
		results = append(results, late)
	}
	// open opens a connection at a time, if the instance still accepts it.
	open := func(at time.Duration, use func(connection net.Conn)) {
		time.Sleep(time.Until(stopped.Add(at)))
		if connection, err := net.Dial("tcp", front); err == nil {
			defer connection.Close()
			use(connection)
		}
	}
	for number, at := range times {
		early := min(at, lastAccepted)
		senders.Go(func() { time.Sleep(time.Until(stopped.Add(at))); send("kept", number, keptConns[number]) })
		senders.Go(func() { open(at, func(connection net.Conn) { send("new", number, connection) }) })
		senders.Go(func() { open(early, func(connection net.Conn) { send("slow body", number, connection) }) })
		senders.Go(func() {
			open(early, func(connection net.Conn) {
				time.Sleep(time.Until(stopped.Add(at)))
				send("unused", number, connection)
			})
		})
	}
	senders.Wait()
	su.assertEnds(t, results)
}

// assertEnds checks how requests ended that were sent while their instance stopped.
func (su *slowUpstream) assertEnds(t *testing.T, results []lateRequest) {
	t.Helper()
	su.mu.Lock()
	defer su.mu.Unlock()
	byStatus := map[int]int{}
	for _, each := range results {
		byStatus[each.status]++
		wasPassedOn := su.arrived[each.id]
		if each.status == http.StatusServiceUnavailable {
			must.False(t, wasPassedOn, must.Sprintf("%+v was refused after it had been passed on", each))
		}
		atWorkNearTheEnd := each.sentAt <= noticeTime && each.ended >= stopGrace*5/6
		if each.whole && each.status != http.StatusGatewayTimeout && each.status != http.StatusBadGateway || atWorkNearTheEnd {
			continue
		}
		if wasPassedOn {
			t.Errorf("%+v was passed on and got no answer of its upstream", each)
		} else if each.status != 0 && each.ended-each.sentAt > unreadTime {
			t.Errorf("%+v was read and got no whole answer", each)
		}
	}
	t.Logf("%d requests, by status %v", len(results), byStatus)
	must.Positive(t, byStatus[http.StatusOK])
	must.Positive(t, byStatus[http.StatusServiceUnavailable], must.Sprint("no request came late"))
}
