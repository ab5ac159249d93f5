package evacuation

import "time"

// Register holds the evacuated failure domains, each with the version of the operators' row that evacuates it; it is not safe for
// concurrent use.
type Register struct {
	entries map[string]*entry
	// holdUntil is the time until which evacuations stay in force whose rows an older copy of the store lacks.
	holdUntil time.Time
}

// entry is the evacuation of one failure domain.
type entry struct {
	// since is when this instance learned of the evacuation.
	since time.Time
	// version is that of the row.
	version int64
	// isConfirmed is set if the row has been read since the store last came back from an older copy.
	isConfirmed bool
	// heldUntil is set if that copy lacks the row: the evacuation ends then unless the row is written again.
	heldUntil time.Time
}

// holdTime is how long operators have to write their rows again after the store came back from an older copy.
const holdTime = 5 * time.Second

// New returns a register without evacuations.
func New() *Register {
	return &Register{entries: map[string]*entry{}}
}

// Put records the row that evacuates a failure domain, and reports whether the domain was not evacuated before.
func (rg *Register) Put(now time.Time, domain string, version int64) (changed bool) {
	known, found := rg.entries[domain]
	if !found {
		rg.entries[domain] = &entry{since: now, version: version, isConfirmed: true}
		return true
	}
	known.version, known.isConfirmed, known.heldUntil = version, true, time.Time{}
	return false
}

// Remove records that the row is gone, and reports whether that ends the evacuation. If the row is gone because the store came back from an
// older copy, the evacuation is held instead. Further removals while it is held do not end it either: instances pass the same removal on to
// each other.
func (rg *Register) Remove(now time.Time, domain string) (changed bool) {
	known, found := rg.entries[domain]
	if !found {
		return false
	}
	if !known.isConfirmed && now.Before(rg.holdUntil) {
		known.heldUntil = rg.holdUntil
		return false
	}
	delete(rg.entries, domain)
	return true
}

// StoreRestored records that the store has come back from an older copy, whose rows follow.
func (rg *Register) StoreRestored(now time.Time) {
	rg.holdUntil = now.Add(holdTime)
	for _, known := range rg.entries {
		known.isConfirmed = false
		if !known.heldUntil.IsZero() {
			known.heldUntil = rg.holdUntil
		}
	}
}

// Domains returns the evacuated failure domains, with the time at which this instance learned of each evacuation.
func (rg *Register) Domains(now time.Time) map[string]time.Time {
	domains := map[string]time.Time{}
	for domain, known := range rg.entries {
		if !known.isOver(now) {
			domains[domain] = known.since
		}
	}
	return domains
}

// isOver reports whether the evacuation was held and its row was not written again in time.
func (en *entry) isOver(now time.Time) bool {
	return !en.heldUntil.IsZero() && !now.Before(en.heldUntil)
}

// Expire ends the held evacuations whose rows were not written again in time, and returns their failure domains with the versions of the
// last rows.
func (rg *Register) Expire(now time.Time) map[string]int64 {
	expired := map[string]int64{}
	for domain, known := range rg.entries {
		if known.isOver(now) {
			expired[domain] = known.version
			delete(rg.entries, domain)
		}
	}
	return expired
}

// NextExpiry returns when Expire must be called next, or the zero time.
func (rg *Register) NextExpiry() time.Time {
	next := time.Time{}
	for _, known := range rg.entries {
		if !known.heldUntil.IsZero() && (next.IsZero() || known.heldUntil.Before(next)) {
			next = known.heldUntil
		}
	}
	return next
}
