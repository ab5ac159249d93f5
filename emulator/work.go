package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/priority"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// slots lets so many calls work at once; others wait by priority, then by arrival.
type slots struct {
	mu      sync.Mutex
	free    int64
	running int64
	arrived int64
	waiting *priority.Queue[*waiter]
}

type waiter struct {
	priority int
	arrived  int64
	ready    chan struct{}
	seat     int
}

// newSlots lets count calls work at once.
func newSlots(count int64) *slots {
	return &slots{free: count, waiting: priority.New(
		func(left, right *waiter) bool {
			if left.priority != right.priority {
				return left.priority < right.priority
			}
			return left.arrived < right.arrived
		},
		func(one *waiter, seat int) { one.seat = seat },
	)}
}

// take waits for a slot and reports whether it got one before ctx ended.
func (sl *slots) take(ctx context.Context, rank int) bool {
	sl.mu.Lock()
	if sl.free > 0 {
		sl.free--
		sl.running++
		sl.mu.Unlock()
		return true
	}
	sl.arrived++
	one := &waiter{priority: rank, arrived: sl.arrived, ready: make(chan struct{})}
	sl.waiting.Push(one)
	sl.mu.Unlock()
	select {
	case <-one.ready:
		return true
	case <-ctx.Done():
		return sl.giveUp(one)
	}
}

// giveUp takes a waiter out; one that was given a slot meanwhile passes it on.
func (sl *slots) giveUp(one *waiter) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if one.seat != priority.NotQueued {
		sl.waiting.Remove(one.seat)
		return false
	}
	sl.next()
	return false
}

func (sl *slots) put() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.next()
}

// next gives a slot to the first waiter, or frees it.
func (sl *slots) next() {
	if sl.waiting.Len() == 0 {
		sl.free++
		sl.running--
		return
	}
	close(sl.waiting.Pop().ready)
}

func (sl *slots) load() int64 {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.running + int64(sl.waiting.Len())
}

// call is one call of work.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	faults  *Faults
}

// work wraps a call with slots, faults, identity and load.
func (sd *Standin) work(next func(*call) any) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		sd.calls.Add(1)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		one := &call{writer: writer, request: request, body: body, faults: sd.faults.Load()}
		if sd.refuses(one) {
			return
		}
		began := time.Now()
		rank, _ := strconv.Atoi(request.Header.Get(upstream.HeaderPriority))
		if !sd.slots.take(request.Context(), rank) {
			return
		}
		defer sd.slots.put()
		waited := time.Since(began)
		if one.faults.CrashOn != "" && strings.Contains(string(body), one.faults.CrashOn) {
			sd.Stop()
			return
		}
		sd.echo(writer, request)
		writer.Header().Set(upstream.HeaderLoad, strconv.FormatInt(sd.slots.load(), 10))
		writer.Header().Set(upstream.HeaderWaited, strconv.FormatInt(waited.Microseconds(), 10))
		sd.finish(one, next(one))
	}
}

// refuses answers a call that the stand-in takes no notice of.
func (sd *Standin) refuses(one *call) bool {
	if !one.faults.Leaving && !one.faults.Busy {
		return false
	}
	one.writer.Header().Set(upstream.HeaderNotRun, "1")
	if one.faults.Leaving {
		one.writer.Header().Set(upstream.HeaderLeaving, "1")
	}
	one.writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// finish sends an answer, or what a fault makes of it; nil says that the call has answered by itself.
func (sd *Standin) finish(one *call, answer any) {
	if answer == nil {
		return
	}
	encoded, _ := json.Marshal(answer)
	switch {
	case one.faults.ActThenClose:
		hangUp(one.writer)
	case one.faults.Garbage:
		_, _ = io.WriteString(one.writer, "<html>no gateway here</html>")
	case one.faults.CutShort:
		one.writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
		_, _ = one.writer.Write(encoded[:len(encoded)/2])
	default:
		_, _ = one.writer.Write(encoded)
	}
}

// hangUp closes the connection without an answer.
func hangUp(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// spend takes the time of a call, or less if its caller leaves; it reports whether the caller stayed.
func (sd *Standin) spend(one *call, micros int64) bool {
	length := time.Duration(micros) * time.Microsecond
	if one.faults.SlowFactor > 0 {
		length *= time.Duration(one.faults.SlowFactor)
	}
	length += time.Duration(one.faults.SlowMs) * time.Millisecond
	if length == 0 {
		return true
	}
	select {
	case <-time.After(length):
		return true
	case <-one.request.Context().Done():
		return false
	}
}

// vectorSize is the length of the vectors that the encoder makes.
const vectorSize = 4

func (sd *Standin) embed(one *call) any {
	asked := upstream.EmbeddingRequest{}
	_ = json.Unmarshal(one.body, &asked)
	sd.spend(one, sd.config.GetServiceMicros())
	vector := make([]float64, vectorSize)
	for at := range vector {
		vector[at] = float64(hashOf(asked.Input, strconv.Itoa(at))%1000) / 1000
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

func (sd *Standin) search(one *call) any {
	asked := upstream.SearchRequest{}
	_ = json.Unmarshal(one.body, &asked)
	sd.spend(one, sd.config.GetServiceMicros())
	found := []upstream.Passage{}
	for at := range asked.TopK {
		id := hashOf(fmt.Sprint(asked.Vector), strconv.FormatInt(at, 10))
		found = append(found, upstream.Passage{ID: fmt.Sprintf("p%08x", id), Text: fmt.Sprintf("passage %08x", id), Score: 1 / float64(at+1)})
	}
	return upstream.SearchReply{Documents: found}
}

func (sd *Standin) rerank(one *call) any {
	asked := upstream.RerankRequest{}
	_ = json.Unmarshal(one.body, &asked)
	sd.spend(one, sd.config.GetServiceMicros())
	kept := append([]upstream.Passage{}, asked.Documents...)
	return upstream.SearchReply{Documents: kept[:min(int64(len(kept)), asked.TopN)]}
}

// act carries out a call of a plain service: each arrival is one effect.
func (sd *Standin) act(one *call) any {
	sd.spend(one, sd.config.GetServiceMicros())
	sd.effects.add(string(one.body))
	return struct {
		Done    bool
		Service string
		Echo    json.RawMessage
	}{true, sd.name, one.body}
}

// effects counts what a plain service has done, by the content of the call.
type effects struct {
	mu     sync.Mutex
	counts map[string]int
}

func (ef *effects) add(content string) {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	if ef.counts == nil {
		ef.counts = map[string]int{}
	}
	ef.counts[content]++
}

func (ef *effects) all() map[string]int {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	copied := map[string]int{}
	for content, count := range ef.counts {
		copied[content] = count
	}
	return copied
}

// Effects returns how often each content was carried out.
func (sd *Standin) Effects() map[string]int {
	return sd.effects.all()
}

// Token returns the token that engines generate for a prompt at a place: all engines agree, as one model does.
func Token(prompt string, index int) string {
	return fmt.Sprintf("t%d-%04x ", index, hashOf(prompt, strconv.Itoa(index))&0xffff)
}

// complete streams tokens and goes on after those that the call already has.
func (sd *Standin) complete(one *call) any {
	asked := upstream.CompletionRequest{}
	_ = json.Unmarshal(one.body, &asked)
	one.writer.Header().Set("Content-Type", "text/event-stream")
	if one.faults.Garbage {
		_, _ = io.WriteString(one.writer, "data: }{\n\n")
		return nil
	}
	if !sd.spend(one, sd.config.GetServiceMicros()) {
		return nil
	}
	flusher := http.NewResponseController(one.writer)
	id := one.request.Header.Get(upstream.HeaderRequestID)
	for index := len(asked.Resume); int64(index) < asked.MaxTokens; index++ {
		if one.faults.BreakAfterTokens > 0 && index-len(asked.Resume) >= one.faults.BreakAfterTokens {
			if _, before := sd.broken.LoadOrStore(id, true); !before {
				hangUp(one.writer)
				return nil
			}
		}
		chunk, _ := json.Marshal(upstream.CompletionChunk{Index: index, Text: Token(asked.Prompt, index)})
		_, _ = io.WriteString(one.writer, "data: "+string(chunk)+"\n\n")
		_ = flusher.Flush()
		if !sd.spend(one, sd.config.GetTokenMicros()) {
			return nil
		}
	}
	_, _ = io.WriteString(one.writer, "data: "+upstream.StreamEnd+"\n\n")
	return nil
}
