package member

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tombstoneTTL is how long a dead or left member is kept, so that it can be contacted again after a network partition.
const tombstoneTTL = time.Hour

// RecordHeartbeat records a message received directly from a member, and returns the changes of the membership.
func (vw *View) RecordHeartbeat(now time.Time, sender Member) []Change {
	changes := vw.Merge(now, []Member{sender})
	if _, monitored := vw.lastHeard[sender.ID]; monitored {
		vw.lastHeard[sender.ID] = now
	}
	return changes
}

// Tick suspects silent partners, declares members dead that were suspected for too long, forgets members whose
// tombstone has expired, and returns the changes.
func (vw *View) Tick(now time.Time) []Change {
	vw.resetAfterPause(now)
	vw.lastTick = now
	changes := vw.suspectSilent(now)
	for id, rc := range vw.records {
		age := now.Sub(rc.since)
		switch {
		case rc.member.Liveness == Suspect && age >= vw.config.DeadAfter:
			changes = append(changes, vw.setLiveness(now, rc.member, Dead))
		case rc.member.Liveness >= Dead && age >= tombstoneTTL:
			delete(vw.records, id)
			delete(vw.due, id)
			vw.invalidate()
		}
	}
	return changes
}

// resetAfterPause restarts all timeouts if this process itself was paused: it then received no messages, although the
// other members may have sent some.
func (vw *View) resetAfterPause(now time.Time) {
	if now.Sub(vw.lastTick) < 2*vw.config.Heartbeat {
		return
	}
	for id := range vw.lastHeard {
		vw.lastHeard[id] = now
	}
	for _, rc := range vw.records {
		if rc.member.Liveness == Suspect {
			rc.since = now
		}
	}
}

func (vw *View) suspectSilent(now time.Time) []Change {
	changes := []Change{}
	for _, id := range vw.partnerIDs(now) {
		rc := vw.records[id]
		if rc.member.Liveness == Alive && now.Sub(vw.lastHeard[id]) >= vw.config.SuspectAfter {
			changes = append(changes, vw.setLiveness(now, rc.member, Suspect))
		}
	}
	return changes
}

func (vw *View) setLiveness(now time.Time, mb Member, state Liveness) Change {
	was := mb.Liveness
	mb.Liveness = state
	vw.setState(now, mb)
	return Change{Member: mb, Previous: was}
}

// Partners returns the members to which this instance sends heartbeats.
func (vw *View) Partners(now time.Time) []Member {
	list := []Member{}
	for _, id := range vw.partnerIDs(now) {
		list = append(list, vw.records[id].member)
	}
	return list
}

// LostCount returns the number of members that were declared dead within a time before now and are not back. They may be cut
// off and still at work.
func (vw *View) LostCount(now time.Time, within time.Duration) int {
	count := 0
	for _, rc := range vw.records {
		if rc.member.Liveness == Dead && now.Sub(rc.since) < within {
			count++
		}
	}
	return count
}

// RandomDead returns a random dead member, which may be reachable again, or false if there is none.
func (vw *View) RandomDead() (Member, bool) {
	list := []Member{}
	for _, rc := range vw.records {
		if rc.member.Liveness == Dead {
			list = append(list, rc.member)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	sort.Slice(list, func(left, right int) bool { return list[left].ID < list[right].ID })
	return list[vw.random.IntN(len(list))], true
}

// partnerIDs returns the successor of this instance on each of Config.Partners rings. Each ring orders the members by
// a different hash, so that the links form a random graph: a change reaches all members in a few hops, and each member
// is monitored by about as many others as it has partners.
func (vw *View) partnerIDs(now time.Time) []string {
	if !vw.partnersStale {
		return vw.partners
	}
	vw.partnersStale = false
	vw.partners = vw.partners[:0]
	chosen := map[string]bool{}
	for ring := range vw.config.Partners {
		if id, found := vw.successor(ring, chosen); found {
			chosen[id] = true
			vw.partners = append(vw.partners, id)
		}
	}
	vw.updateMonitored(now, chosen)
	return vw.partners
}

// updateMonitored starts to monitor new partners and stops to monitor former ones.
func (vw *View) updateMonitored(now time.Time, chosen map[string]bool) {
	for id := range vw.lastHeard {
		if !chosen[id] {
			delete(vw.lastHeard, id)
		}
	}
	for id := range chosen {
		if _, monitored := vw.lastHeard[id]; !monitored {
			vw.lastHeard[id] = now
		}
	}
}

// successor returns the live member that follows this instance on a ring, without those in chosen.
func (vw *View) successor(ring int, chosen map[string]bool) (string, bool) {
	own := ringHash(ring, vw.self.ID)
	next, nextDistance, found := "", uint64(0), false
	for id, rc := range vw.records {
		if rc.member.Liveness >= Dead || chosen[id] {
			continue
		}
		// The unsigned subtraction wraps around the ring.
		distance := ringHash(ring, id) - own
		if !found || distance < nextDistance {
			next, nextDistance, found = id, distance, true
		}
	}
	return next, found
}

func ringHash(ring int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "/" + id)
}
