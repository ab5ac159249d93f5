package lease

import (
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/table"
)

// Record is the value of a lease's row, stored as JSON. Number is the fencing token, which increases with each new
// holder; DurationMs is the lease duration of the holder, in milliseconds.
type Record struct {
	Holder     string
	Number     int64
	DurationMs int64
}

// Step is the next action of the caller; its variants are Commit and Wait.
type Step interface {
	step()
}

// Commit tells the caller to commit Transaction, which takes or renews the lease, and to pass the outcome to
// RecordCommit.
type Commit struct {
	Transaction  table.Transaction
	FencingToken int64
}

func (Commit) step() {}

// Wait tells the caller to read the row again after For, since another instance holds the lease.
type Wait struct {
	For time.Duration
}

func (Wait) step() {}

// Lease is one instance's view of a lease; it is not safe for concurrent use.
type Lease struct {
	key      string
	holder   string
	duration time.Duration
	margin   time.Duration

	token           int64
	startedAt       time.Time
	held            bool
	observedVersion int64
	observedAt      time.Time
	commitStartedAt time.Time
}

// KeyPrefix is the prefix of all lease rows in the table.
const KeyPrefix = "lease/"

// New returns a lease that is not held. For its holder the lease expires margin earlier than for
// other instances.
func New(name, holder string, duration, margin time.Duration) *Lease {
	return &Lease{key: KeyPrefix + name, holder: holder, duration: duration, margin: margin}
}

// Key returns the key of the lease's row.
func (ls *Lease) Key() string {
	return ls.key
}

// Observe takes the lease's row as read at now and returns the next step.
func (ls *Lease) Observe(now time.Time, row table.Row) Step {
	record := Record{}
	if row.Version > 0 && json.Unmarshal(row.Value, &record) != nil {
		record = Record{Holder: "unreadable", DurationMs: ls.duration.Milliseconds()}
	}
	if row.Version == 0 {
		return ls.commit(now, row, 1)
	}
	if ls.held && record.Holder == ls.holder && record.Number == ls.token && ls.IsHeld(now) {
		return ls.commit(now, row, ls.token)
	}
	// Expiry is measured with this instance's clock only, as the time since the row's version last changed;
	// each renewal changes it. If the row names this instance, the instance has restarted or the lease has
	// expired during a pause; it then waits like any other instance.
	if row.Version != ls.observedVersion {
		ls.observedVersion, ls.observedAt = row.Version, now
	}
	expiry := max(time.Duration(record.DurationMs)*time.Millisecond, ls.duration)
	if age := elapsed(ls.observedAt, now); age < expiry {
		return Wait{For: expiry - age}
	}
	return ls.commit(now, row, record.Number+1)
}

// commit returns the step that writes this instance and token to the row if the row is unchanged.
func (ls *Lease) commit(now time.Time, row table.Row, token int64) Step {
	ls.commitStartedAt = now
	encoded, _ := json.Marshal(Record{Holder: ls.holder, Number: token, DurationMs: ls.duration.Milliseconds()})
	return Commit{FencingToken: token, Transaction: table.Transaction{
		Conditions: []table.Condition{{Key: ls.key, Version: row.Version}},
		Writes:     []table.Write{{Key: ls.key, Value: encoded}},
	}}
}

// RecordCommit records the outcome of a commit. Only table.Committed takes or renews the lease; after an unknown
// outcome the lease keeps its previous expiry.
func (ls *Lease) RecordCommit(step Commit, outcome table.Outcome) {
	if _, committed := outcome.(table.Committed); !committed {
		return
	}
	invariant.Check(step.FencingToken >= ls.token, "a lease's fencing token never decreases", "%s from %d to %d", ls.key, ls.token, step.FencingToken)
	ls.held, ls.token, ls.startedAt = true, step.FencingToken, ls.commitStartedAt
}

// FencingToken returns the fencing token of the latest term held by this instance, or 0 if it never held the lease.
func (ls *Lease) FencingToken() int64 {
	return ls.token
}

// Remaining returns how long this instance may still act as the holder; it is zero or negative if the lease is not
// held.
func (ls *Lease) Remaining(now time.Time) time.Duration {
	if !ls.held {
		return 0
	}
	return ls.duration - ls.margin - elapsed(ls.startedAt, now)
}

// IsHeld reports whether this instance holds the lease. Call it before each action that needs the lease.
func (ls *Lease) IsHeld(now time.Time) bool {
	return ls.Remaining(now) > 0
}

// elapsed returns the longer of the monotonic and the wall-clock time from one instant to another: the monotonic
// clock stops while the machine is suspended, and the wall clock can be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
