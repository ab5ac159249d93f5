package soak_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/platform/standin"
)

const (
	// eventCount is the number of events in a whole answer, eventGap the pause after each.
	eventCount = 4
	eventGap   = 5 * time.Millisecond
	// errorHeader marks an upstream's own error response.
	errorHeader = "Soak-Error"
	// fromHeader holds the Last-Event-Id that the caller sent.
	fromHeader = "Soak-From"
	// One of unreadableShare answers of an upstream with a limit announces a limit that is no number.
	unreadableShare = 10
)

// upstream is an upstream that runs requests and stages; its answer to a request repeats the request's id. Some of its
// answers are faulty, by the seed, the request's id and the number of the send.
type upstream struct {
	*httptest.Server

	id     string
	seed   uint64
	ledger *ledger
	// calls counts the calls of the upstream's own interface.
	calls atomic.Int64
	// limited counts the requests that an upstream with a limit got.
	limited atomic.Int64
	// leaving is set while it says that it is leaving, pauseUntil is until when it wants no requests, in Unix nanoseconds.
	leaving    atomic.Bool
	pauseUntil atomic.Int64
	// coldFrom is when it last came back cold, in Unix nanoseconds.
	coldFrom atomic.Int64
	// domain is its failure domain; senderOf returns the instance of a connection by its remote address.
	domain   int
	senderOf func(remote string) (int, bool)
	// born is the start time of the current incarnation; register writes its registration, crash ends and restarts it unless it is
	// away already.
	born     atomic.Int64
	register func()
	crash    func() bool
}

func newUpstream(t *testing.T, id string, seed uint64, lg *ledger) *upstream {
	t.Helper()
	us := &upstream{id: id, seed: seed, ledger: lg}
	us.born.Store(1)
	us.Server = httptest.NewServer(us)
	t.Cleanup(us.Close)
	return us
}

// seededRandom returns the random numbers of a seed and a name.
func seededRandom(seed uint64, name string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name)
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

func (us *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if us.answerEarly(writer, request) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("Turmericdoor-Expect-Instance"); expected != "" && expected != us.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	us.checkEvacuated(request)
	random := seededRandom(us.seed, fmt.Sprintf("%s/limit/%d", us.id, us.limited.Add(1)))
	us.announceLimit(writer, random.IntN(unreadableShare) == 0)
	if !strings.HasPrefix(request.URL.Path, "/v1/") {
		us.checkStanding(request.Header.Get("Turmericdoor-Attempt-Id"))
	}
	if us.say(writer) {
		return
	}
	if strings.HasPrefix(request.URL.Path, "/v1/") {
		us.serveOwn(writer, request, body)
		return
	}
	us.serveRequest(writer, request, string(body))
}

// serveOwn serves the upstream's own interface.
func (us *upstream) serveOwn(writer http.ResponseWriter, request *http.Request, body []byte) {
	random := seededRandom(us.seed, fmt.Sprintf("%s/%d", us.id, us.calls.Add(1)))
	share := endlessOwnShare
	if request.URL.Path == "/v1/report" {
		share = endlessReportShare
	}
	if random.IntN(share) == 0 {
		us.ledger.writeEndless(writer, random, us.id+request.URL.Path, ownDeadline, "", "")
		return
	}
	switch request.URL.Path {
	case "/v1/stage-run":
		us.runStage(writer, body, random.IntN(noRoomShare) == 0)
	case "/v1/report":
		_, _ = fmt.Fprintf(writer, `{"free_mb":36,"born":%d}`, us.born.Load())
	}
}

// runStage executes the items of a call, or none of them for want of memory.
func (us *upstream) runStage(writer http.ResponseWriter, body []byte, noRoom bool) {
	if noRoom {
		items := slices.Repeat([]string{`{"reason":"room"}`}, strings.Count(string(body), `"piece"`))
		_, _ = fmt.Fprintf(writer, `{"items":[%s]}`, strings.Join(items, ","))
		return
	}
	results, err := standin.StageResults(body, us.id)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = writer.Write(results)
}

// routeKinds are the routes of a run: how often a request may run and whether its answer is a stream that may be resumed.
var routeKinds = map[string]struct {
	limit     int
	streaming bool
	resumable bool
}{
	"draft": {limit: 1, streaming: true}, "post": {limit: 1}, "look": {limit: 2},
	"resume": {limit: 2, streaming: true, resumable: true}, "resume3": {limit: 3, streaming: true, resumable: true},
}

// routeName returns the name of a path's route.
func routeName(path string) string { return strings.Split(path, "/")[1] }

// serveRequest answers a caller's request.
func (us *upstream) serveRequest(writer http.ResponseWriter, request *http.Request, body string) {
	id := request.Header.Get("Turmericdoor-Attempt-Id")
	us.checkRequest(request, id, body)
	us.recordLimited(id)
	us.checkCold()
	if us.crashesOn(request, id) {
		return
	}
	leavePlace := us.takePlace(writer, id)
	if leavePlace == nil {
		return
	}
	defer leavePlace()
	kind := routeKinds[routeName(request.URL.Path)]
	number := us.ledger.recordArrival(id)
	random := seededRandom(us.seed, fmt.Sprintf("%s/%d", id, number))
	resumed := request.Header.Get("Last-Event-Id")
	fault := pickFault(random, us.endlessShare(), number, kind.streaming, resumed != request.Header.Get(fromHeader))
	if fault == cutReset || fault == cutClose {
		// Its random numbers are its own, so that the other answers of a seed stay as they are.
		if seededRandom(us.seed, fmt.Sprintf("%s/head/%d", id, number)).IntN(cutHeadShare) == 0 {
			fault = cutHead
		}
	}
	if us.isOdd(request, id, number) {
		fault = oddStatus
	}
	us.ledger.recordPlayed(id, fault.String())
	if fault != errorNotRun {
		us.ledger.recordRun(id, kind.limit)
	}
	first := 0
	if last, err := strconv.Atoi(resumed); err == nil && kind.resumable && fault != startAgain {
		first = last + 1
	}
	stamp := fmt.Sprintf("%s.%d", us.id, number)
	answer := response{
		id: id, seal: stamp, events: eventTexts(id, stamp, first), random: random, deadline: requestDeadline(request), notices: writer.Header(),
	}
	us.respond(writer, fault, answer)
}

func (us *upstream) endlessShare() int {
	if us.seed%10 == 9 {
		return manyEndlessShare
	}
	return endlessShare
}

// requestDeadline returns how long the sender of a request waits.
func requestDeadline(request *http.Request) time.Duration {
	left, _ := strconv.Atoi(request.Header.Get("Turmericdoor-Deadline-Ms"))
	return time.Duration(left) * time.Millisecond
}

// eventTexts returns the events of an answer from one on; each names the run that made it.
func eventTexts(id, stamp string, first int) []string {
	list := []string{}
	for number := first; number < eventCount; number++ {
		list = append(list, fmt.Sprintf("id: %d\nevent: %s\ndata: %s\n\n", number, stamp, id))
	}
	return list
}

// checkRequest checks that a request arrived as its caller sent it, without the caller's key and with the organisation
// and its own inputs.
func (us *upstream) checkRequest(request *http.Request, id, body string) {
	padding, _ := strconv.Atoi(request.Header.Get(paddingHeader))
	if body != bodyOf(id, padding) || request.Header.Get("Authorization") != "" || request.Header.Get("Turmericdoor-Tenant") != "guild" {
		us.ledger.violation("request %s arrived changed", id)
	}
	for _, handle := range strings.Split(request.Header.Get("Turmericdoor-Inputs"), ",") {
		if handle != "" && !strings.Contains(handle, "/"+id+".") {
			us.ledger.violation("request %s got the input %s of another request", id, handle)
		}
	}
}
