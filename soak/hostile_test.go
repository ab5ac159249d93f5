package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The limits of the process and of its callers in the tests below. The callers' limits are those of the users' deployments; the memory is a
// little less than that of their smallest instance.
var (
	hostileResources  = resourceLimits{memoryMB: 128, descriptors: 600}
	hostileConfigured = fmt.Sprintf(`{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}`, hostileBody)
)

const (
	// hostileBody is the longest body that a caller may send, in bytes.
	hostileBody = 4 << 20
	// bodyCrowd, headCrowd and silentCrowd are the numbers of simultaneous connections that send bodies, heads, or only the beginning of a head.
	bodyCrowd   = 64
	headCrowd   = 160
	silentCrowd = 800
	// One in completeEach connections of a crowd that sends bodies sends its body to the end.
	completeEach = 8
	// endlessHeadBytes bounds what is sent on a connection that the instance does not close, in bytes.
	endlessHeadBytes = 64 << 20
	// A crowd has settled once it could send nothing for settledAfter; settleTimeout is how long the test waits for that.
	settledAfter  = 1500 * time.Millisecond
	settleTimeout = 2 * time.Minute
	// answerTimeout is how long an ordinary caller retries after refusals.
	answerTimeout = time.Minute
)

// crowd is a group of callers that keep to no limits: each sends its parts on a connection of its own and leaves that open.
type crowd struct {
	sent    atomic.Int64
	running sync.WaitGroup
	mu      sync.Mutex
	open    []net.Conn
}

// join sends the parts on a new connection until they end or the other side closes it.
func (cr *crowd) join(address string, parts func(send func(part []byte) bool)) {
	cr.running.Go(func() {
		conn, err := net.DialTimeout("tcp", address, settleTimeout)
		if err != nil {
			return
		}
		cr.mu.Lock()
		cr.open = append(cr.open, conn)
		cr.mu.Unlock()
		cr.running.Go(func() { _, _ = io.Copy(io.Discard, conn) })
		parts(func(part []byte) bool {
			count, err := conn.Write(part)
			cr.sent.Add(int64(count))
			return err == nil
		})
	})
}

// awaitSettled waits until nothing more is sent, since all parts were sent or the instance does not read the others.
func (cr *crowd) awaitSettled() {
	last, since := cr.sent.Load(), time.Now()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && time.Since(since) < settledAfter; time.Sleep(20 * time.Millisecond) {
		if now := cr.sent.Load(); now != last {
			last, since = now, time.Now()
		}
	}
}

// leave closes all connections.
func (cr *crowd) leave() {
	cr.mu.Lock()
	for _, conn := range cr.open {
		_ = conn.Close()
	}
	cr.mu.Unlock()
	cr.running.Wait()
}

// hostileHead returns the head of a request without the empty line that ends it.
func hostileHead(number int, framing string) []byte {
	return fmt.Appendf(nil, "POST /post/%d HTTP/1.1\r\nHost: h\r\nTurmericdoor-Attempt-Id: hostile-%d\r\nTurmericdoor-Deadline-Ms: 600000\r\n"+
		"Authorization: Token k\r\n%s", number, number, framing)
}

// sendBody sends a body of the longest legal length in parts of a size, each encoded by encode. All but one in completeEach connections stop one
// part before the end.
func sendBody(number, partSize int, framing string, encode func(part []byte) []byte, end string) func(send func([]byte) bool) {
	return func(send func([]byte) bool) {
		if !send(hostileHead(number, framing+"\r\n")) {
			return
		}
		encoded := encode(bytes.Repeat([]byte("x"), partSize))
		for range hostileBody/partSize - 1 {
			if !send(encoded) {
				return
			}
		}
		if number%completeEach == 0 {
			send(append(bytes.Clone(encoded), end...))
		}
	}
}

// repeated returns a part several times, to be sent in one write.
func repeated(part []byte, count int) []byte {
	return bytes.Repeat(part, count)
}

// hostileCrowds holds the crowds by what they send: the number of connections, and what the connection with a number sends.
var hostileCrowds = map[string]struct {
	size  int
	parts func(number int) func(send func([]byte) bool)
}{
	"bodies in one piece": {bodyCrowd, func(number int) func(func([]byte) bool) {
		length := hostileBody
		return func(send func([]byte) bool) {
			body := bytes.Repeat([]byte("x"), length)
			if number%completeEach != 0 {
				body = body[:length-1]
			}
			send(append(hostileHead(number, fmt.Sprintf("Content-Length: %d\r\n\r\n", length)), body...))
		}
	}},
	"bodies piece by piece": {bodyCrowd, func(number int) func(func([]byte) bool) {
		return sendBody(number, 16<<10, fmt.Sprintf("Content-Length: %d\r\n", hostileBody), func(part []byte) []byte { return part }, "")
	}},
	"large chunks": {bodyCrowd, func(number int) func(func([]byte) bool) {
		return sendBody(number, 512<<10, "Transfer-Encoding: chunked\r\n", func(part []byte) []byte {
			return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}, "0\r\n\r\n")
	}},
	"small chunks": {bodyCrowd, func(number int) func(func([]byte) bool) {
		return sendBody(number, 16<<10, "Transfer-Encoding: chunked\r\n", func(part []byte) []byte {
			return repeated(fmt.Appendf(nil, "10\r\n%s\r\n", part[:16]), len(part)/16)
		}, "0\r\n\r\n")
	}},
	"heads over the limit that stop before their end": {headCrowd, func(number int) func(func([]byte) bool) {
		return func(send func([]byte) bool) {
			lines := hostileHead(number, "")
			for field := 0; len(lines) < 240<<10; field++ {
				lines = fmt.Appendf(lines, "%x:\r\n", field)
			}
			send(lines)
		}
	}},
	"heads without end": {headCrowd, func(number int) func(func([]byte) bool) {
		return func(send func([]byte) bool) {
			if !send(hostileHead(number, "")) {
				return
			}
			for sent := 0; sent < endlessHeadBytes; {
				part := []byte{}
				for field := range 4 << 10 {
					part = fmt.Appendf(part, "%x-%x:\r\n", sent, field)
				}
				if !send(part) {
					return
				}
				sent += len(part)
			}
		}
	}},
	"a head line without end": {headCrowd, func(number int) func(func([]byte) bool) {
		return func(send func([]byte) bool) {
			open := send(hostileHead(number, "Long: "))
			part := bytes.Repeat([]byte("x"), 64<<10)
			for sent := 0; open && sent < endlessHeadBytes; sent += len(part) {
				open = send(part)
			}
		}
	}},
	"empty lines without end": {headCrowd, func(int) func(func([]byte) bool) {
		return func(send func([]byte) bool) {
			part := []byte(strings.Repeat("\r\n", 32<<10))
			for sent := 0; sent < endlessHeadBytes && send(part); sent += len(part) {
			}
		}
	}},
	"heads that have only begun": {silentCrowd, func(number int) func(func([]byte) bool) {
		return func(send func([]byte) bool) { send(hostileHead(number, "")) }
	}},
}

// startSignedUpstream starts an upstream that reads each request and answers it with its signature, and returns its address.
func startSignedUpstream(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Turmericdoor-Attempt-Id", request.Header.Get("Turmericdoor-Attempt-Id"))
		writer.Header().Set("Turmericdoor-Response-Seal", "s")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// post sends one request and returns the status, or an error if there is no answer.
func (cf *calmFleet) post(id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cf.addresses[0]+"/post/1", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = "h", true
	for name, value := range map[string]string{
		"Turmericdoor-Attempt-Id": id, "Turmericdoor-Deadline-Ms": "10000", "Authorization": "Token k",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// assertAnswered checks that a caller that keeps to all limits is answered, if need be after some retries.
func (cf *calmFleet) assertAnswered(what string, body []byte) {
	cf.t.Helper()
	number := 0
	cf.eventually(what+" is answered", answerTimeout, func() bool {
		number++
		status, err := cf.post(fmt.Sprintf("%s-%d", strings.ReplaceAll(what, " ", "-"), number), body)
		return err == nil && status == http.StatusOK
	})
}

// descriptors returns the number of a process's open descriptors, or 0 if it has ended.
func descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// TestCallersBeyondTheLimits guards against an instance that runs out of memory or descriptors, since many callers at once send heads without
// end or over the limit, or bodies that stop just before their end, and stay connected.
func TestCallersBeyondTheLimits(t *testing.T) {
	binary, address := buildProgram(t), startSignedUpstream(t)
	for name, each := range hostileCrowds {
		t.Run(name, func(t *testing.T) {
			cf := newLimitedFleet(t, []string{binary}, map[string]string{"plain-0": address}, hostileResources, hostileConfigured)
			pid, members := cf.process(0).Process.Pid, &crowd{}
			defer members.leave()
			most := atomic.Int64{}
			watched, watching := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				for watched.Err() == nil {
					most.Store(max(most.Load(), int64(descriptors(pid))))
					time.Sleep(20 * time.Millisecond)
				}
			}()
			for number := range each.size {
				members.join(cf.addresses[0], each.parts(number))
			}
			members.awaitSettled()
			cf.assertAnswered("an ordinary request beside them", []byte("order"))
			members.leave()
			cf.assertAnswered("the longest legal request after them", bytes.Repeat([]byte("x"), hostileBody))
			watching()
			<-done
			peak := peakMemoryMB(pid)
			t.Logf("%d connections sent %d bytes; at most %d MB resident and %d descriptors", each.size, members.sent.Load(), peak, most.Load())
			must.Positive(t, peak, must.Sprint("the process has ended"))
			must.LessEq(t, hostileResources.memoryMB, peak)
			must.LessEq(t, int64(hostileResources.descriptors), most.Load())
		})
	}
}
