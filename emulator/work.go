package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// slots limits the number of calls executed at once: each call holds one slot while it is executed. Further calls
// wait, ordered by priority and then by arrival; a lower priority number goes first.
type slots struct {
	mu       sync.Mutex
	free     int64
	running  int64
	arrivals int64
	waiting  *priority.Queue[*waiter]
}

// waiter is a call that waits for a slot; index is its place in the queue, or priority.NotQueued.
type waiter struct {
	priority int
	arrival  int64
	ready    chan struct{}
	index    int
}

// newSlots returns slots for slotCount calls at once, all free, with an empty queue of waiting calls that is
// ordered by priority and then by arrival.
func newSlots(slotCount int64) *slots {
	return &slots{free: slotCount, waiting: priority.New(
		func(left, right *waiter) bool {
			if left.priority != right.priority {
				return left.priority < right.priority
			}
			return left.arrival < right.arrival
		},
		func(wt *waiter, index int) { wt.index = index },
	)}
}

// acquire waits for a slot and reports whether it got one before ctx was done.
func (sl *slots) acquire(ctx context.Context, rank int) bool {
	sl.mu.Lock()
	if sl.free > 0 {
		sl.free--
		sl.running++
		sl.mu.Unlock()
		return true
	}
	sl.arrivals++
	wt := &waiter{priority: rank, arrival: sl.arrivals, ready: make(chan struct{})}
	sl.waiting.Push(wt)
	sl.mu.Unlock()
	select {
	case <-wt.ready:
		return true
	case <-ctx.Done():
		return sl.abandon(wt)
	}
}

// abandon removes a waiter from the queue, or passes its slot on if it has got one in the meantime. It
// always returns false, the result of acquire.
func (sl *slots) abandon(wt *waiter) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if wt.index != priority.NotQueued {
		sl.waiting.Remove(wt.index)
		return false
	}
	sl.passOn()
	return false
}

// release returns the slot of a finished call.
func (sl *slots) release() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.passOn()
}

// passOn assigns a released slot to the first waiter, or marks it free if none waits. sl.mu must be held.
func (sl *slots) passOn() {
	if sl.waiting.Len() == 0 {
		sl.free++
		sl.running--
		return
	}
	close(sl.waiting.Pop().ready)
}

// inUse returns the number of calls that are running or waiting, which is the reported load.
func (sl *slots) inUse() int64 {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.running + int64(sl.waiting.Len())
}

// call is one HTTP call to a path that does work, with the faults that were set when it arrived.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	faults  *Faults
}

// handleCall returns a handler that calls next once a slot is free, applies the faults, and sets the
// headers for identity, load and waiting time. A nil result of next means that it has written the response
// itself.
func (sd *Standin) handleCall(next func(*call) any) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sd.calls.Add(1)
		cl := &call{writer: writer, request: request, faults: sd.faults.Load()}
		if cl.faults.EarlyReset {
			sd.resetEarly(cl)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		cl.body = body
		if sd.refuse(cl) {
			return
		}
		arrived := time.Now()
		rank, _ := strconv.Atoi(request.Header.Get(upstream.HeaderPriority))
		if !sd.slots.acquire(request.Context(), rank) {
			return
		}
		defer sd.slots.release()
		waited := time.Since(arrived)
		if cl.faults.CrashOn != "" && strings.Contains(string(body), cl.faults.CrashOn) {
			sd.Stop()
			return
		}
		sd.echoIdentity(writer, request)
		writer.Header().Set(upstream.HeaderLoad, strconv.FormatInt(sd.slots.inUse(), 10))
		writer.Header().Set(upstream.HeaderWaited, strconv.FormatInt(waited.Microseconds(), 10))
		sd.sendAnswer(cl, next(cl))
	}
}

// refuse answers a call as not executed if the fault Leaving or Busy is set, and reports whether it did.
func (sd *Standin) refuse(cl *call) bool {
	if !cl.faults.Leaving && !cl.faults.Busy {
		return false
	}
	cl.writer.Header().Set(upstream.HeaderNotRun, "1")
	if cl.faults.Leaving {
		cl.writer.Header().Set(upstream.HeaderLeaving, "1")
	}
	cl.writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// resetEarly answers a call whose body has not been read, and resets the connection some time after.
func (sd *Standin) resetEarly(cl *call) {
	sd.effects.record("")
	connection, _, err := http.NewResponseController(cl.writer).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	sd.writeHead(connection, cl.request, "200 OK")
	_, _ = io.WriteString(connection, `{"Done":true}`)
	time.Sleep(time.Duration(cl.faults.EarlyResetMs) * time.Millisecond)
	if tcp, is := connection.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
}

// writeStatus writes a whole response with another status, and ends the connection.
func (sd *Standin) writeStatus(cl *call, encoded []byte) {
	connection, _, err := http.NewResponseController(cl.writer).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	sd.writeHead(connection, cl.request, cl.faults.Status+" Odd")
	_, _ = connection.Write(encoded)
}

// writeHead writes the head of a response without a length.
func (sd *Standin) writeHead(connection net.Conn, request *http.Request, status string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nConnection: close\r\n", status)
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderStage, upstream.HeaderAttempt} {
		_, _ = fmt.Fprintf(connection, "%s: %s\r\n", name, request.Header.Get(name))
	}
	_, _ = io.WriteString(connection, "\r\n")
}

// sendAnswer writes the response, altered by the faults ActThenClose, Status, Garbage and CutShort. A nil answer
// means that the response has already been written.
func (sd *Standin) sendAnswer(cl *call, answer any) {
	if answer == nil {
		return
	}
	encoded, _ := json.Marshal(answer)
	switch {
	case cl.faults.ActThenClose:
		closeConnection(cl.writer)
	case cl.faults.Status != "":
		sd.writeStatus(cl, encoded)
	case cl.faults.Garbage:
		_, _ = io.WriteString(cl.writer, "<html>no gateway here</html>")
	case cl.faults.CutShort:
		cl.writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		_, _ = cl.writer.Write(encoded[:len(encoded)/2])
	default:
		_, _ = cl.writer.Write(encoded)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// simulateWork sleeps for a call's duration, given in microseconds and altered by the faults SlowFactor and
// SlowMs. It reports false if the client closed the connection before the end.
func (sd *Standin) simulateWork(cl *call, micros int64) bool {
	length := time.Duration(micros) * time.Microsecond
	if cl.faults.SlowFactor > 0 {
		length *= time.Duration(cl.faults.SlowFactor)
	}
	length += time.Duration(cl.faults.SlowMs) * time.Millisecond
	if length == 0 {
		return true
	}
	select {
	case <-time.After(length):
		return true
	case <-cl.request.Context().Done():
		return false
	}
}

// vectorSize is the number of dimensions of an embedding.
const vectorSize = 4

func (sd *Standin) embed(cl *call) any {
	query := upstream.EmbeddingRequest{}
	_ = json.Unmarshal(cl.body, &query)
	sd.simulateWork(cl, sd.config.GetServiceMicros())
	vector := make([]float64, vectorSize)
	for at := range vector {
		vector[at] = float64(hashOf(query.Input, strconv.Itoa(at))%1000) / 1000
	}
	return upstream.EmbeddingReply{Embedding: vector}
}

func hashOf(parts ...string) uint32 {
	hash := fnv.New32a()
	for _, part := range parts {
		_, _ = io.WriteString(hash, part)
	}
	return hash.Sum32()
}

func (sd *Standin) search(cl *call) any {
	query := upstream.SearchRequest{}
	_ = json.Unmarshal(cl.body, &query)
	sd.simulateWork(cl, sd.config.GetServiceMicros())
	passages := []upstream.Passage{}
	for at := range query.TopK {
		id := hashOf(fmt.Sprint(query.Vector), strconv.FormatInt(at, 10))
		passages = append(passages, upstream.Passage{ID: fmt.Sprintf("p%08x", id), Text: fmt.Sprintf("passage %08x", id), Score: 1 / float64(at+1)})
	}
	return upstream.SearchReply{Documents: passages}
}

func (sd *Standin) rerank(cl *call) any {
	query := upstream.RerankRequest{}
	_ = json.Unmarshal(cl.body, &query)
	sd.simulateWork(cl, sd.config.GetServiceMicros())
	kept := append([]upstream.Passage{}, query.Documents...)
	return upstream.SearchReply{Documents: kept[:min(int64(len(kept)), query.TopN)]}
}

// performEffect executes a call of a plain service, which is a kind of upstream that is neither a model nor an
// engine. It counts one effect for each execution, repeated executions included.
func (sd *Standin) performEffect(cl *call) any {
	sd.simulateWork(cl, sd.config.GetServiceMicros())
	sd.effects.record(string(cl.body))
	return struct {
		Done    bool
		Service string
		Echo    json.RawMessage
	}{true, sd.name, cl.body}
}

// effects counts the calls that a plain service has executed, by request body.
type effects struct {
	mu     sync.Mutex
	counts map[string]int
}

func (ef *effects) record(content string) {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	if ef.counts == nil {
		ef.counts = map[string]int{}
	}
	ef.counts[content]++
}

func (ef *effects) snapshot() map[string]int {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	copied := map[string]int{}
	for content, count := range ef.counts {
		copied[content] = count
	}
	return copied
}

// Effects returns the number of executions for each request body.
func (sd *Standin) Effects() map[string]int {
	return sd.effects.snapshot()
}

// Token returns the token that an engine of a software version generates at an index for a prompt. It is the same for
// all engines of the version, so that another one of them can resume a stream. An empty version is not named.
func Token(version, prompt string, index int) string {
	if version != "" {
		return fmt.Sprintf("t%d-%04x@%s ", index, hashOf(prompt, strconv.Itoa(index))&0xffff, version)
	}
	return fmt.Sprintf("t%d-%04x ", index, hashOf(prompt, strconv.Itoa(index))&0xffff)
}

// complete streams the tokens of a completion, starting after the tokens in the request's Resume field.
func (sd *Standin) complete(cl *call) any {
	completion := upstream.CompletionRequest{}
	_ = json.Unmarshal(cl.body, &completion)
	cl.writer.Header().Set("Content-Type", "text/event-stream")
	if cl.faults.Garbage {
		_, _ = io.WriteString(cl.writer, "data: }{\n\n")
		return nil
	}
	if !sd.simulateWork(cl, sd.config.GetServiceMicros()) {
		return nil
	}
	flusher := http.NewResponseController(cl.writer)
	id := cl.request.Header.Get(upstream.HeaderRequestID)
	for index := len(completion.Resume); int64(index) < completion.MaxTokens; index++ {
		if cl.faults.BreakAfterTokens > 0 && index-len(completion.Resume) >= cl.faults.BreakAfterTokens {
			if _, alreadyBroken := sd.brokenStreams.LoadOrStore(id, true); !alreadyBroken {
				closeConnection(cl.writer)
				return nil
			}
		}
		token := Token(sd.config.GetSoftwareVersion(), completion.Prompt, index)
		chunk, _ := json.Marshal(upstream.CompletionChunk{Index: index, Text: token})
		_, _ = io.WriteString(cl.writer, "data: "+string(chunk)+"\n\n")
		_ = flusher.Flush()
		if !sd.simulateWork(cl, sd.config.GetTokenMicros()) {
			return nil
		}
	}
	_, _ = io.WriteString(cl.writer, "data: "+upstream.StreamEnd+"\n\n")
	return nil
}
