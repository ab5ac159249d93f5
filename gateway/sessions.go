package gateway

import (
	"time"

	"github.com/turmericdoor/turmericdoor/placement"
)

// recordSent records that the upstream will have the shared parts of the prompt cached.
func (rn *run) recordSent(choice placement.Choice, criteria placement.Criteria) {
	if criteria.Session == 0 {
		return
	}
	rn.Pools.withPlacement(rn.pool.Name, func(now time.Time, known *placement.Pool) {
		known.RecordSent(now, choice.Upstream.Incarnation(), criteria.Session)
	})
}

// recordServiceTime records how long an upstream took for a request that it has served.
func (at *attempt) recordServiceTime(result placement.Result) {
	if result != placement.Served {
		return
	}
	at.run.Pools.withPlacement(at.run.pool.Name, func(now time.Time, known *placement.Pool) {
		known.RecordServiceTime(now.Sub(at.startedAt))
	})
}

// ReplicatedSessions returns the number of sessions that more than one engine serves.
func (pl *Pools) ReplicatedSessions() int {
	now := pl.timers.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, each := range pl.placements {
		count += each.ReplicatedSessions(now)
	}
	return count
}
