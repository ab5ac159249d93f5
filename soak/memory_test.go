package soak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/endlessserver"
)

const (
	// endlessCallers is the number of callers at once, and endlessTime how long they send requests.
	endlessCallers = 96
	endlessTime    = 5 * time.Second
	endlessHead    = "HTTP/1.1 200 OK\r\nTurmericdoor-Response-Seal: s\r\n"
	// headLimit and bodyLimit are in docs/OPERATIONS.md; here they only name the cases.
	headLimit = 64 << 10
	bodyLimit = 8 << 20
)

// endlessUpstreams starts an upstream for each place at which bytes without end may begin, in each pool, and returns their addresses.
func endlessUpstreams(t *testing.T) map[string]string {
	t.Helper()
	cases := endlessserver.Heads(endlessHead, headLimit)
	for name, each := range endlessserver.Bodies(endlessHead, bodyLimit, headLimit) {
		cases[name] = each
	}
	// An event that does not end, and one that ends but is followed by others.
	cases["an event"] = endlessserver.Case{Answer: endlessserver.Answer{Head: endlessHead + "\r\nid: 1\n\ndata: ", Repeated: "x"}}
	cases["events"] = endlessserver.Case{Answer: endlessserver.Answer{Head: endlessHead + "\r\n", Repeated: "id: 1\ndata: xxxxxxxx\n\n"}}
	addresses := map[string]string{}
	for _, each := range cases {
		sv, err := endlessserver.New(context.Background(), each.Answer)
		must.NoError(t, err)
		t.Cleanup(sv.Close)
		for _, pool := range []string{"plain", "model", "stage"} {
			addresses[fmt.Sprintf("%s-%d", pool, len(addresses))] = sv.Address
		}
	}
	return addresses
}

// TestEndlessAnswersWithinTheMemory guards against an instance that runs out of memory, and ends, since many upstreams at once send bytes
// without end, in heads and bodies, to requests, streams and items.
func TestEndlessAnswersWithinTheMemory(t *testing.T) {
	cf := newCalmFleet(t, []string{buildProgram(t)}, endlessUpstreams(t))
	pid := cf.process(0).Process.Pid
	end, callers := time.Now().Add(endlessTime), sync.WaitGroup{}
	kinds := []string{"post", "look", "draft", "resume", "resume3"}
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: endlessCallers}}
	defer client.CloseIdleConnections()
	for number := range endlessCallers {
		callers.Go(func() {
			for at := 0; time.Now().Before(end); at++ {
				cl := call{kind: kinds[(number+at)%len(kinds)]}
				cl.id = fmt.Sprintf("e%d-%d@0", number, at)
				request, err := cf.newRequest(cl)
				must.NoError(t, err)
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
		})
	}
	callers.Wait()
	peak := peakMemoryMB(pid)
	t.Logf("%d MB at most", peak)
	must.Between(t, 1, peak, memoryLimitMB, must.Sprint("MB; 0 if the process has ended"))
	sound := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Turmericdoor-Attempt-Id", request.Header.Get("Turmericdoor-Attempt-Id"))
		writer.Header().Set("Turmericdoor-Response-Seal", "s")
	}))
	t.Cleanup(sound.Close)
	cf.store.Put("servers", "plain-sound", registration("plain-sound", strings.TrimPrefix(sound.URL, "http://"), 0, time.Now().UnixMilli()))
	cf.eventually("a request is served by an upstream that is sound", serveTimeout, func() bool {
		status, err := cf.get(0, "/look/1")
		return err == nil && status == http.StatusOK
	})
}
