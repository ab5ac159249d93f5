package member

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tombstoneLife is how long a member that is gone is remembered, so that it is found again after a cut.
const tombstoneLife = time.Hour

// RecordHeartbeat notes a message straight from a member.
func (tb *View) RecordHeartbeat(now time.Time, sender Member) []Change {
	changes := tb.Merge(now, []Member{sender})
	if _, watched := tb.watched[sender.ID]; watched {
		tb.watched[sender.ID] = now
	}
	return changes
}

// Tick suspects partners that have been silent, declares dead those whose suspicion stood too long, and
// forgets those that are long gone.
func (tb *View) Tick(now time.Time) []Change {
	tb.forgivePause(now)
	tb.ticked = now
	changes := tb.suspectSilent(now)
	for id, rc := range tb.records {
		age := now.Sub(rc.since)
		switch {
		case rc.member.Liveness == Suspect && age >= tb.config.DeadAfter:
			changes = append(changes, tb.move(now, rc.member, Dead))
		case rc.member.Liveness >= Dead && age >= tombstoneLife:
			delete(tb.records, id)
		}
	}
	return changes
}

// forgivePause starts every watch and suspicion anew if this process itself stood still: what it did not
// hear meanwhile says nothing about the others.
func (tb *View) forgivePause(now time.Time) {
	if now.Sub(tb.ticked) < 2*tb.config.Heartbeat {
		return
	}
	for id := range tb.watched {
		tb.watched[id] = now
	}
	for _, rc := range tb.records {
		if rc.member.Liveness == Suspect {
			rc.since = now
		}
	}
}

func (tb *View) suspectSilent(now time.Time) []Change {
	changes := []Change{}
	for _, id := range tb.partnerIDs(now) {
		rc := tb.records[id]
		if rc.member.Liveness == Alive && now.Sub(tb.watched[id]) >= tb.config.SuspectAfter {
			changes = append(changes, tb.move(now, rc.member, Suspect))
		}
	}
	return changes
}

func (tb *View) move(now time.Time, mb Member, state Liveness) Change {
	was := mb.Liveness
	mb.Liveness = state
	tb.set(now, mb)
	return Change{Member: mb, Previous: was}
}

// Partners returns the members that get this instance's heartbeats.
func (tb *View) Partners(now time.Time) []Member {
	list := []Member{}
	for _, id := range tb.partnerIDs(now) {
		list = append(list, tb.records[id].member)
	}
	return list
}

// RandomDead returns a random member that is gone without having left, or false: it may be reachable again.
func (tb *View) RandomDead() (Member, bool) {
	list := []Member{}
	for _, rc := range tb.records {
		if rc.member.Liveness == Dead {
			list = append(list, rc.member)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	sort.Slice(list, func(left, right int) bool { return list[left].ID < list[right].ID })
	return list[tb.random.IntN(len(list))], true
}

// partnerIDs are the next live members on as many rings as there are partners. Each ring orders the members
// by another hash, so that the links form a random graph in which news reaches everyone in a few steps, and
// each member has about as many watchers as partners.
func (tb *View) partnerIDs(now time.Time) []string {
	if !tb.stale {
		return tb.partners
	}
	tb.stale = false
	tb.partners = tb.partners[:0]
	chosen := map[string]bool{}
	for ring := range tb.config.Partners {
		if id, found := tb.successor(ring, chosen); found {
			chosen[id] = true
			tb.partners = append(tb.partners, id)
		}
	}
	tb.watch(now, chosen)
	return tb.partners
}

// watch starts the watches of new partners and ends those of former ones.
func (tb *View) watch(now time.Time, chosen map[string]bool) {
	for id := range tb.watched {
		if !chosen[id] {
			delete(tb.watched, id)
		}
	}
	for id := range chosen {
		if _, watched := tb.watched[id]; !watched {
			tb.watched[id] = now
		}
	}
}

// successor is the live member after this instance on a ring, leaving out those already chosen.
func (tb *View) successor(ring int, chosen map[string]bool) (string, bool) {
	own := ringHash(ring, tb.self.ID)
	next, nextDistance, found := "", uint64(0), false
	for id, rc := range tb.records {
		if rc.member.Liveness >= Dead || chosen[id] {
			continue
		}
		// The distance wraps around the ring by the overflow of the subtraction.
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
