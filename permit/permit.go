package permit

import (
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Ledger issues the permits of the upstreams that an instance owns; it is not safe for concurrent use.
type Ledger struct {
	accounts map[roster.Incarnation]*account
}

// account is the state of one upstream, as of a generic cell rate algorithm.
type account struct {
	// next is when the next request is due if requests come evenly at the limit.
	next time.Time
	// issued is the number of the last permit.
	issued uint64
	// changedAt is the number of the last permit that was issued before the limit changed.
	changedAt uint64
}

// Decision is the answer to a request for a permit. It is sealed: its variants are Granted and Denied.
type Decision interface {
	decision()
}

// Granted is a permit for one request, to be sent after Wait. Numbers increase.
type Granted struct {
	Number uint64
	Wait   time.Duration
}

func (Granted) decision() {}

// Denied says that no permit will be available for Wait.
type Denied struct {
	Wait time.Duration
}

func (Denied) decision() {}

const (
	// burstTime is the time at the limit for which requests that were not sent may be sent at once.
	burstTime = 250 * time.Millisecond
	// evenBurst is how many requests may be sent at once to an upstream that has no room for a burst.
	evenBurst = 2
	// minPerSecond is the least rate at which requests are sent: only their answers show that a limit has ended.
	minPerSecond = 0.2
)

// New returns a ledger without accounts.
func New() *Ledger {
	return &Ledger{accounts: map[roster.Incarnation]*account{}}
}

// interval returns the time between two requests at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// effectiveRate returns the rate at which requests are sent at a limit.
func effectiveRate(perSecond float64) float64 {
	return max(perSecond, minPerSecond)
}

// account returns the account of an upstream. A new one issues its first permit after one interval, since the owner before
// may just have issued one.
func (ld *Ledger) account(now time.Time, incarnation roster.Incarnation, perSecond float64) *account {
	known, found := ld.accounts[incarnation]
	if !found {
		known = &account{next: now.Add(interval(perSecond) + burstTime)}
		ld.accounts[incarnation] = known
	}
	return known
}

// Open creates the account of an upstream, with a limit and a share as for Take, if there is none.
func (ld *Ledger) Open(now time.Time, incarnation roster.Incarnation, perSecond, share float64) {
	ld.account(now, incarnation, effectiveRate(perSecond)*share)
}

// Take decides on a request for a permit at a limit, in requests per second, which may wait for maxWait. Share is the part of
// the limit that the owner may issue.
func (ld *Ledger) Take(now time.Time, incarnation roster.Incarnation, perSecond, share float64, maxWait time.Duration) Decision {
	return ld.take(now, incarnation, effectiveRate(perSecond)*share, burstTime, maxWait)
}

// TakeEvenly is Take for an upstream that has no room for more than evenBurst requests at once.
func (ld *Ledger) TakeEvenly(now time.Time, incarnation roster.Incarnation, perSecond, share float64, maxWait time.Duration) Decision {
	rate := effectiveRate(perSecond) * share
	return ld.take(now, incarnation, rate, evenBurst*interval(rate), maxWait)
}

func (ld *Ledger) take(now time.Time, incarnation roster.Incarnation, rate float64, burst, maxWait time.Duration) Decision {
	known := ld.account(now, incarnation, rate)
	wait := max(known.next.Add(-burst).Sub(now), 0)
	if wait > maxWait {
		return Denied{Wait: wait}
	}
	known.next = timer.Later(known.next, now.Add(wait)).Add(interval(rate))
	known.issued++
	return Granted{Number: known.issued, Wait: wait}
}

// IsNewer reports whether a request with a permit was sent after the last change of the upstream's limit was known, so that
// what its answer announces is newer.
func (ld *Ledger) IsNewer(incarnation roster.Incarnation, number uint64) bool {
	known, found := ld.accounts[incarnation]
	return found && number > known.changedAt
}

// Changed records that the limit of an upstream has changed, to a rate in requests per second.
func (ld *Ledger) Changed(now time.Time, incarnation roster.Incarnation, perSecond float64) {
	if known, found := ld.accounts[incarnation]; found {
		known.changedAt = known.issued
		known.next = timer.Earlier(known.next, now.Add(interval(effectiveRate(perSecond))+burstTime))
	}
}

// Prune drops the accounts of upstreams that are not listed.
func (ld *Ledger) Prune(isListed func(roster.Incarnation) bool) {
	for incarnation := range ld.accounts {
		if !isListed(incarnation) {
			delete(ld.accounts, incarnation)
		}
	}
}
