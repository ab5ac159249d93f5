package dispatch

import (
	"time"

	"github.com/turmericdoor/turmericdoor/choice"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// maxHeld bounds how many requests that fit no free upstream are set aside, so that others pass them.
const maxHeld = 64

// fill drops late work, then starts waiting work while upstreams have room.
func (ds *Dispatcher) fill(now time.Time, out []Action) []Action {
	out = ds.dropLate(now, out)
	out = ds.fillHeld(now, out)
	for ds.queue.Len() > 0 && len(ds.held) < maxHeld && ds.anyRoom(now) {
		en := ds.waiting[ds.queue.Pop().ID]
		wish := wishOf(&en.request)
		cd := ds.chooser.Pick(now, &wish)
		if cd == nil {
			ds.reserveAlone(now, en)
			ds.held = append(ds.held, en)
			continue
		}
		delete(ds.waiting, en.request.ID)
		out = ds.start(now, en, cd, out)
	}
	return out
}

// anyRoom reports whether some upstream would take a call without wishes.
func (ds *Dispatcher) anyRoom(now time.Time) bool {
	return ds.chooser.Pick(now, &choice.Criteria{}) != nil
}

// fillHeld starts the requests set aside whose upstreams now have room.
func (ds *Dispatcher) fillHeld(now time.Time, out []Action) []Action {
	kept := ds.held[:0]
	for _, en := range ds.held {
		wish := wishOf(&en.request)
		cd := ds.chooser.Pick(now, &wish)
		if cd == nil {
			ds.reserveAlone(now, en)
			kept = append(kept, en)
			continue
		}
		delete(ds.waiting, en.request.ID)
		out = ds.start(now, en, cd, out)
	}
	clear(ds.held[len(kept):])
	ds.held = kept
	return out
}

// reserveAlone keeps new work from one upstream, so that it falls idle for a request that must run alone.
func (ds *Dispatcher) reserveAlone(now time.Time, en *entry) {
	if !en.request.Exclusive || (en.reserved != nil && en.reserved.Exclusive) {
		return
	}
	wish := wishOf(&en.request)
	wish.RequireIdle = false
	if cd := ds.chooser.Pick(now, &wish); cd != nil {
		cd.Exclusive = true
		en.reserved = cd
	}
}

// release gives back the upstream that was kept for a request which will not run.
func (ds *Dispatcher) release(en *entry) {
	if en.reserved != nil {
		en.reserved.Exclusive = false
		en.reserved = nil
	}
}

// start books a call on the upstream.
func (ds *Dispatcher) start(now time.Time, en *entry, cd *choice.Candidate, out []Action) []Action {
	invariant.Check(!cd.Leaving, "a leaving upstream gets no new work", "request %d to %s", en.request.ID, cd.Name)
	invariant.Check(!cd.Exclusive, "a suspect request runs alone", "request %d to %s", en.request.ID, cd.Name)
	if en.reserved != cd {
		ds.release(en)
	}
	en.reserved = nil
	cd.InFlight++
	cd.Exclusive = en.request.Exclusive
	cd.RecordPrefix(now, en.request.PrefixHash)
	en.on[cd.Name]++
	ds.running[en.request.ID] = en
	return append(out, Start{ID: en.request.ID, Upstream: cd.Name})
}

// dropLate refuses every request that can no longer finish in time.
func (ds *Dispatcher) dropLate(now time.Time, out []Action) []Action {
	for ticket := ds.queue.PopExpired(now); ticket != nil; ticket = ds.queue.PopExpired(now) {
		en := ds.waiting[ticket.ID]
		delete(ds.waiting, ticket.ID)
		out = append(out, ds.refusal(now, en, DeadlineCannotBeMet))
	}
	kept := ds.held[:0]
	for _, en := range ds.held {
		if en.ticket.LatestStart.Before(now) {
			ds.release(en)
			delete(ds.waiting, en.request.ID)
			out = append(out, ds.refusal(now, en, DeadlineCannotBeMet))
			continue
		}
		kept = append(kept, en)
	}
	clear(ds.held[len(kept):])
	ds.held = kept
	return out
}

// refusal says when the work that is ahead now will be done.
func (ds *Dispatcher) refusal(now time.Time, en *entry, reason Reason) Refuse {
	request := &en.request
	estimate := ds.Estimate(now, request.Rank, request.Organisation, request.Weight)
	if !estimate.Usable {
		return Refuse{ID: request.ID, Reason: NoUpstream, RetryAfter: noUpstreamRetry}
	}
	return Refuse{ID: request.ID, Reason: reason, RetryAfter: max(estimate.Wait, minRetryAfter)}
}

const (
	// noUpstreamRetry is when to come back if no upstream of the pool can be used.
	noUpstreamRetry = 2 * time.Second
	// minRetryAfter is the least wait that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
)

func wishOf(request *Request) choice.Criteria {
	return choice.Criteria{
		FailureDomain: request.FailureDomain, Avoid: request.Avoid, Adapter: request.Adapter,
		PrefixHash: request.PrefixHash, RequireIdle: request.Exclusive,
	}
}
