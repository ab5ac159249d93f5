package evacuation

import "time"

// Register holds the evacuated failure domains by the rows of the operators' table; it is not safe for concurrent use.
type Register struct {
	entries map[string]*entry
	// holdUntil is until when an evacuation that an older copy of the store lacks stays in force.
	holdUntil time.Time
}

// entry is an evacuation since a time, with the version of its row. isConfirmed is set if the row has been seen since the store last came
// back from an older copy. heldUntil is when the evacuation ends if its row, which that copy lacks, is not written again, or zero.
type entry struct {
	since       time.Time
	version     int64
	isConfirmed bool
	heldUntil   time.Time
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

// Remove records that the row is gone, and reports whether that ends the evacuation. If an older copy of the store lacks the row, the
// evacuation is held. Instances pass a row's removal on to each other, so that a second one does not end it either.
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

// Domains returns the evacuated failure domains, and since when they are.
func (rg *Register) Domains(now time.Time) map[string]time.Time {
	domains := map[string]time.Time{}
	for domain, known := range rg.entries {
		if !known.isOver(now) {
			domains[domain] = known.since
		}
	}
	return domains
}

func (en *entry) isOver(now time.Time) bool {
	return !en.heldUntil.IsZero() && !now.Before(en.heldUntil)
}

// Expire ends the held evacuations whose time is over and returns them with the versions of their last rows.
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
