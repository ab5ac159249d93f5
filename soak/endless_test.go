package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// endlessBound is the most that the other side may let an endless answer send, in bytes, buffers on the way included;
	// at endlessCap the upstream stops.
	endlessBound = 64 << 20
	endlessCap   = 256 << 20
	// endlessMargin is how long after the sender's deadline an endless answer may still be open: a process may be stopped
	// meanwhile, or its connections slow.
	endlessMargin = 3 * time.Second
	// ownDeadline is the time allowed to calls that state no deadline.
	ownDeadline = 5 * time.Second
)

// endlessKind is the place in an answer where bytes without end begin.
type endlessKind int

const (
	inHeaderLine endlessKind = iota
	inHeaderLines
	inInformational
	inErrorBody
	inBodyText
	inBodyLines
	afterBody
	endlessKindCount
)

// String returns the kind's name.
func (ek endlessKind) String() string {
	return [endlessKindCount]string{
		"inHeaderLine", "inHeaderLines", "inInformational", "inErrorBody", "inBodyText", "inBodyLines", "afterBody",
	}[ek]
}

// endlessParts returns what an endless answer begins with and what it repeats; junk reports that the body is spoilt.
func endlessParts(kind endlessKind, random *rand.Rand, head, events string) (begin, repeat string, junk bool) {
	framing := []string{
		"Connection: close\r\n\r\n", "Content-Length: 9000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1fffffffff\r\n",
	}[random.IntN(3)]
	switch kind {
	case inHeaderLine:
		return head + "Long: ", "x", false
	case inHeaderLines:
		return head, "Many: x\r\n", false
	case inInformational:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n", false
	case inErrorBody:
		return strings.Replace(head, "200 OK", "500 Internal Server Error", 1) + errorHeader + ": 1\r\n" + framing, "x", false
	case inBodyText:
		return head + framing + events, "x", true
	case inBodyLines:
		return head + framing + events, "x\n", true
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events), "x", false
	}
}

// ownHead is the head of the answers of an upstream's own interface and of the store.
const ownHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// writeEndless writes an answer without end until the other side closes the connection. It is a violation if that takes
// longer than the deadline and a margin, or more bytes than the bound.
func (lg *ledger) writeEndless(writer http.ResponseWriter, random *rand.Rand, name string, deadline time.Duration, head, events string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	kind := endlessKind(random.IntN(int(endlessKindCount)))
	if head == "" {
		lg.recordPlayed(name, "endless "+name[strings.Index(name, "/"):])
		head = ownHead
		events = []string{`{"items":[{"handle":"`, `{"free_mb":36,"rows":[{"key":"`, ` `}[random.IntN(3)]
	}
	begin, repeat, junk := endlessParts(kind, random, head, events)
	if junk {
		lg.recordJunk(name)
	}
	lg.recordPlayed(name, kind.String())
	startedAt := time.Now()
	_ = conn.SetWriteDeadline(time.Now().Add(deadline + endlessMargin))
	total, err := repeatUntilClosed(conn, begin, repeat)
	lg.recordEndless(kind.String(), time.Since(startedAt), total)
	if total > endlessBound {
		lg.violation("%s: the endless answer (%s) was read for more than %d bytes", name, kind, endlessBound)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		lg.violation("%s: the endless answer (%s) was still open %s after the deadline", name, kind, endlessMargin)
	}
}

// repeatUntilClosed writes a text and then another one again and again; it returns the number of bytes written.
func repeatUntilClosed(conn net.Conn, begin, repeat string) (int, error) {
	total, err := conn.Write([]byte(begin))
	block := []byte(strings.Repeat(repeat, (64<<10)/len(repeat)))
	for err == nil && total < endlessCap {
		count := 0
		count, err = conn.Write(block)
		total += count
	}
	return total, err
}

// faultyStore is the store, which at times answers without end.
type faultyStore struct {
	fleet *fleet
	seed  uint64
	calls atomic.Int64
}

func (st *faultyStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	random := seededRandom(st.seed, fmt.Sprintf("store/%d", st.calls.Add(1)))
	if st.fleet.endlessStore.Load() && random.IntN(2) == 0 {
		st.fleet.ledger.writeEndless(writer, random, "store"+request.URL.Path, ownDeadline, "", "")
		return
	}
	st.fleet.store.ServeHTTP(writer, request)
}

const (
	// memoryLimitMB is the limit of an instance's memory in its settings.
	memoryLimitMB = 200
	memoryPeriod  = 100 * time.Millisecond
)

// watchMemory checks the largest resident set of each process until ctx ends.
func (fl *fleet) watchMemory(ctx context.Context) {
	reported := map[int]bool{}
	for ctx.Err() == nil {
		for at := range instances {
			pid := fl.process(at).Process.Pid
			peak := peakMemoryMB(pid)
			fl.ledger.recordMemory(peak)
			if peak > memoryLimitMB && !reported[pid] {
				reported[pid] = true
				fl.ledger.violation("instance %d used %d MB, more than its limit of %d", at, peak, memoryLimitMB)
			}
		}
		time.Sleep(memoryPeriod)
	}
}

// peakMemoryMB returns the largest resident set that a process had, or 0 if it has ended.
func peakMemoryMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kilobytes := 0
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes >> 10
}
