package soak_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// readsWithin is how lately an instance has called the store that counts as reading it now, readersCut how long it is then cut off.
	readsWithin = 300 * time.Millisecond
	readersCut  = 1500 * time.Millisecond
	// lateFrom is how long after a SIGTERM a request that may outlast the instance is surely refused: the notice and some slack.
	lateFrom = 2700 * time.Millisecond
	// lateInterval is the pause between two requests with bodies that take long.
	lateInterval = 100 * time.Millisecond
)

// cutReaders cuts the instances that read the store now off from it, silently, again and again; meanwhile the operator writes.
func (fl *fleet) cutReaders(ctx context.Context, seed uint64) {
	random := seededRandom(seed, "readers")
	for ctx.Err() == nil {
		sleepFor(ctx, time.Duration(500+random.IntN(2500))*time.Millisecond)
		cut := []*proxy{}
		for _, px := range fl.storePaths {
			if time.Since(time.Unix(0, px.lastUse.Load())) < readsWithin && len(cut) < instances/2 {
				cut = append(cut, px)
				px.dropRequests.Store(true)
				px.dropResponses.Store(true)
			}
		}
		fl.putConfiguration()
		sleepFor(ctx, readersCut)
		for _, px := range cut {
			px.heal()
			px.reset()
		}
	}
}

// sleepFor waits for a time or until ctx ends.
func sleepFor(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (fl *fleet) setStopping(at int, since time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.stopping[at] = since
}

// stoppingFor returns how long an instance has been stopping, or 0.
func (fl *fleet) stoppingFor(at int) time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.stopping[at].IsZero() {
		return 0
	}
	return time.Since(fl.stopping[at])
}

// sendLateRequests sends requests whose bodies end late in the grace period of an instance that stops; none of them may be passed on that
// may outlast the instance.
func (fl *fleet) sendLateRequests(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		sleepFor(ctx, lateInterval)
		for at := range instances {
			if since := fl.stoppingFor(at); since > 0 && since < lastAccepted {
				go fl.sendLateRequest(at, number)
			}
		}
	}
}

// sendLateRequest sends the last byte of a request's body once the instance has been stopping for lateFrom.
func (fl *fleet) sendLateRequest(at, number int) {
	connection, err := net.Dial("tcp", fl.addresses[at])
	if err != nil {
		return
	}
	defer connection.Close()
	since := fl.stoppingFor(at)
	id := fmt.Sprintf("s%d-%d@%d", number, at, at)
	sendAt := lateFrom + time.Duration(number%8)*lateInterval
	// The route allows longer than what is left of the grace period.
	late := sendLate(connection, id, "/draft/1", time.Now().Add(-since), sendAt)
	if since == 0 || late.sentAt < lateFrom || late.sentAt > stopGrace {
		return
	}
	fl.ledger.recordLate()
	fl.ledger.mu.Lock()
	arrivals := fl.ledger.arrivals[id]
	fl.ledger.mu.Unlock()
	if arrivals > 0 {
		fl.ledger.violation("a request that was sent late in a stop was passed on: %s, sent %v after the SIGTERM, status %d", id, late.sentAt, late.status)
	}
	isWithoutKey := late.status == http.StatusUnauthorized && fl.ledger.mayLackKey(at)
	if late.status != 0 && late.status != http.StatusServiceUnavailable && !isWithoutKey {
		fl.ledger.violation("a request that was sent late in a stop got the status %d: %s, sent %v after the SIGTERM", late.status, id, late.sentAt)
	}
}

// recordLate counts a request that was sent late in a stop.
func (lg *ledger) recordLate() {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.late++
}
