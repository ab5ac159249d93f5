package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// depositTime is how long an engine works on a deposit; the sheet has up to 450 ms.
const depositTime = 400 * time.Millisecond

// deposits sends deposits to a process on kept connections.
type deposits struct {
	front *front
	mu    sync.Mutex
	stops []stop
	cut   []cutOff
}

// cutOff is a deposit whose connection ended without an answer.
type cutOff struct {
	id    string
	sent  time.Time
	ended time.Time
	why   string
}

// newDepositEngines returns three registered engines that work on each deposit for depositTime.
func newDepositEngines(st *store) []*engine {
	engines := []*engine{}
	for at, zone := range []string{"z-a", "z-b", "z-c"} {
		en := newEngine("order-ledger", zone, fmt.Sprintf("i-%d", at+1))
		en.answer = func(en *engine, writer http.ResponseWriter, request *http.Request) {
			select {
			case <-time.After(depositTime):
				en.succeed(writer, request)
			case <-request.Context().Done():
			}
		}
		en.register(st)
		engines = append(engines, en)
	}
	return engines
}

// ranAt returns the engine that has run a request, or nothing.
func ranAt(engines []*engine, id string) string {
	for _, en := range engines {
		for _, each := range en.ran() {
			if each.id == id {
				return en.id
			}
		}
	}
	return ""
}

// run sends deposits one after the other on a kept connection, and connects anew when it has ended.
func (dp *deposits) run(ctx context.Context) {
	cl := &client{}
	for ctx.Err() == nil {
		if cl.connection == nil {
			if cl = dial(dp.front.address); cl.connection == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id, sent := newID(), time.Now()
		err := cl.send("POST", "/bobo563/lo7", host, id, []string{"Authorization: Token key-a", "Turmericdoor-Deadline-Ms: 4000"}, "a deposit")
		got := answered{err: err}
		if err == nil {
			got = cl.receive("POST", 6*time.Second)
		}
		if got.err != nil {
			dp.mu.Lock()
			dp.cut = append(dp.cut, cutOff{id: id, sent: sent, ended: time.Now(), why: got.err.Error()})
			dp.mu.Unlock()
		}
		if got.err != nil || got.closes {
			cl.close()
			cl = &client{}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
