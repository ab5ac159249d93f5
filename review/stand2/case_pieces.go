package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["pieces"] = playPieces }

const (
	// mostPieces is the largest number of 64 bits with a sign.
	mostPieces = "9223372036854775807"
	// pieceRounds is how often a client sends its request, which it repeats once at the next machine.
	pieceRounds = 6
	// keptConnections is the number of kept connections to each process on which deposits are sent.
	keptConnections = 3
	// mostLost is how many requests of kept connections LOST allows to be passed on and closed without an answer.
	mostLost = 3
)

// playPieces sends requests with a very large number of pieces, beside deposits on kept connections. The deposits must be answered, and no
// process may end.
func playPieces(trouble bool) bool {
	st := newStore()
	query := plainRoute("latitude-query", "/lat/", "idempotent", 2)
	query["timeout_ms"], query["target_latency_ms"] = 6000, 3000
	query["stages"] = []map[string]any{{"service": "foundry-sched", "after": []int{}, "bytes": 8000.0}}
	stage := map[string]any{"name": "foundry-sched", "max_conns": 370, "pieces": map[string]any{
		"slot_count": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 36.0, "handle_s": 4.0, "link_mbps": 10000.0,
	}}
	routes := []map[string]any{query, plainRoute("deposit-post", "/bobo563/", "non_idempotent", 1)}
	st.put("op", "config", configuration(3, routes, []map[string]any{plainService, stage}, []map[string]any{tenant("bozi300", "key-a")}))
	engines := newDepositEngines(st)
	for at, zone := range []string{"z-a", "z-b", "z-c"} {
		newEngine("foundry-sched", zone, fmt.Sprintf("i-s%d", at+1)).register(st)
	}
	fronts := newFronts(st, "z-a", "z-a", "z-a", "z-b", "z-b", "z-b", "z-c", "z-c")
	startAll(fronts, 4*time.Second)
	isQuiet.Store(true)
	senders := []*deposits{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, fr := range fronts {
		sender := &deposits{front: fr}
		senders = append(senders, sender)
		for range keptConnections {
			go sender.run(ctx)
		}
		go fr.keepRunning(ctx)
	}
	time.Sleep(3 * time.Second)
	pieces := "3"
	if trouble {
		pieces = mostPieces
	}
	for round := range pieceRounds {
		for try := range 2 {
			fr := fronts[(round+try)%len(fronts)]
			got := ask(fr, "POST", "/lat/1", host, newID(), []string{
				"Authorization: Token key-a", "Turmericdoor-Deadline-Ms: 6000", "Turmericdoor-Pieces: " + pieces, "Turmericdoor-Piece-Key: 7c1e07a291bd",
			}, "a question")
			if got.err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}
	lost, ends := 0, 0
	for _, sender := range senders {
		lost += sender.lost(engines)
		ends += sender.front.ends()
	}
	note("processes ended by themselves %d times; %d deposits of kept connections were passed on and never answered, %d are allowed", ends, lost, mostLost)
	return lost > mostLost
}

// lost counts the deposits that were passed on to an engine and have no answer.
func (dp *deposits) lost(engines []*engine) int {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	lost := 0
	for _, each := range dp.cut {
		if ranAt := ranAt(engines, each.id); ranAt != "" {
			lost++
			note("broken: %s sent to %s ran at %s and has no answer: %s", each.id, dp.front.name, ranAt, each.why)
		}
	}
	return lost
}
