package dispatch

import (
	"time"

	"github.com/turmericdoor/turmericdoor/choice"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// maxDeferred limits how many requests that no upstream can currently take are deferred, so that requests behind
// them in the queue can start.
const maxDeferred = 64

// startWaiting refuses expired requests, then starts waiting ones while upstreams have capacity.
func (ds *Dispatcher) startWaiting(now time.Time, out []Action) []Action {
	out = ds.refuseExpired(now, out)
	out = ds.startDeferred(now, out)
	for ds.queue.Len() > 0 && len(ds.deferred) < maxDeferred && ds.hasAnyCapacity(now) {
		en := ds.waiting[ds.queue.Pop().ID]
		criteria := criteriaOf(&en.request)
		cd := ds.picker.Pick(now, &criteria)
		if cd == nil {
			ds.reserveExclusive(now, en)
			ds.deferred = append(ds.deferred, en)
			continue
		}
		delete(ds.waiting, en.request.ID)
		out = ds.startCall(now, en, cd, out)
	}
	return out
}

// hasAnyCapacity reports whether some upstream could take a call without criteria.
func (ds *Dispatcher) hasAnyCapacity(now time.Time) bool {
	return ds.picker.Pick(now, &choice.Criteria{}) != nil
}

// startDeferred starts the deferred requests for which an upstream now has capacity.
func (ds *Dispatcher) startDeferred(now time.Time, out []Action) []Action {
	remaining := ds.deferred[:0]
	for _, en := range ds.deferred {
		criteria := criteriaOf(&en.request)
		cd := ds.picker.Pick(now, &criteria)
		if cd == nil {
			ds.reserveExclusive(now, en)
			remaining = append(remaining, en)
			continue
		}
		delete(ds.waiting, en.request.ID)
		out = ds.startCall(now, en, cd, out)
	}
	clear(ds.deferred[len(remaining):])
	ds.deferred = remaining
	return out
}

// reserveExclusive reserves an upstream for an exclusive request, so that it gets no new work and becomes idle.
func (ds *Dispatcher) reserveExclusive(now time.Time, en *entry) {
	if !en.request.Exclusive || (en.reserved != nil && en.reserved.Exclusive) {
		return
	}
	criteria := criteriaOf(&en.request)
	criteria.RequireIdle = false
	if cd := ds.picker.Pick(now, &criteria); cd != nil {
		cd.Exclusive = true
		en.reserved = cd
	}
}

// releaseReservation makes the upstream that was reserved for the request available again.
func (ds *Dispatcher) releaseReservation(en *entry) {
	if en.reserved != nil {
		en.reserved.Exclusive = false
		en.reserved = nil
	}
}

// startCall records a call in flight on the upstream and appends the Start action.
func (ds *Dispatcher) startCall(now time.Time, en *entry, cd *choice.Candidate, out []Action) []Action {
	invariant.Check(!cd.Leaving, "a leaving upstream gets no new work", "request %d to upstream %q", en.request.ID, cd.Name)
	invariant.Check(!cd.Exclusive, "a suspect request runs alone", "request %d to upstream %q", en.request.ID, cd.Name)
	if en.reserved != cd {
		ds.releaseReservation(en)
	}
	en.reserved = nil
	cd.InFlight++
	cd.Exclusive = en.request.Exclusive
	cd.RecordPrefix(now, en.request.PrefixHash)
	en.calls[cd.Name]++
	ds.running[en.request.ID] = en
	return append(out, Start{ID: en.request.ID, Upstream: cd.Name})
}

// refuseExpired refuses every waiting request that can no longer meet its deadline.
func (ds *Dispatcher) refuseExpired(now time.Time, out []Action) []Action {
	for ticket := ds.queue.PopExpired(now); ticket != nil; ticket = ds.queue.PopExpired(now) {
		en := ds.waiting[ticket.ID]
		delete(ds.waiting, ticket.ID)
		out = append(out, ds.newRefusal(now, en, DeadlineCannotBeMet))
	}
	remaining := ds.deferred[:0]
	for _, en := range ds.deferred {
		if en.ticket.LatestStart.Before(now) {
			ds.releaseReservation(en)
			delete(ds.waiting, en.request.ID)
			out = append(out, ds.newRefusal(now, en, DeadlineCannotBeMet))
			continue
		}
		remaining = append(remaining, en)
	}
	clear(ds.deferred[len(remaining):])
	ds.deferred = remaining
	return out
}

// newRefusal returns the refusal of a request; RetryAfter is the expected wait of a new request.
func (ds *Dispatcher) newRefusal(now time.Time, en *entry, reason Reason) Refuse {
	request := &en.request
	estimate := ds.Estimate(now, request.Rank, request.Organisation, request.Weight)
	if !estimate.Usable {
		return Refuse{ID: request.ID, Reason: NoUpstream, RetryAfter: noUpstreamRetryAfter}
	}
	return Refuse{ID: request.ID, Reason: reason, RetryAfter: max(estimate.Wait, minRetryAfter)}
}

const (
	// noUpstreamRetryAfter is the RetryAfter of a refusal because no upstream is usable.
	noUpstreamRetryAfter = 2 * time.Second
	// minRetryAfter is the lower bound of RetryAfter.
	minRetryAfter = 50 * time.Millisecond
)

func criteriaOf(request *Request) choice.Criteria {
	return choice.Criteria{
		FailureDomain: request.FailureDomain, Avoid: request.Avoid, Adapter: request.Adapter,
		PrefixHash: request.PrefixHash, RequireIdle: request.Exclusive,
	}
}
