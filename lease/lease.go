package lease

import (
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/table"
)

// Record is the content of a lease's row. Number rises with each new holder and serves as fencing number.
type Record struct {
	Holder     string
	Number     int64
	DurationMs int64
}

// Step is what to do next; Commit and Wait are its variants.
type Step interface {
	step()
}

// Commit asks for a transaction; Committed or Lost follows with its outcome.
type Commit struct {
	Transaction  table.Transaction
	FencingToken int64
}

func (Commit) step() {}

// Wait asks to look at the row again after a while, since another instance holds the lease.
type Wait struct {
	For time.Duration
}

func (Wait) step() {}

// Lease is one instance's part in a lease; it is not safe for concurrent use.
type Lease struct {
	key      string
	holder   string
	duration time.Duration
	margin   time.Duration

	number  int64
	began   time.Time
	held    bool
	seen    int64
	seenAt  time.Time
	pending time.Time
}

// KeyPrefix is where leases lie in the table.
const KeyPrefix = "lease/"

// New returns a lease that is not held. The holder stops relying on it margin before others may take it.
func New(name, holder string, duration, margin time.Duration) *Lease {
	return &Lease{key: KeyPrefix + name, holder: holder, duration: duration, margin: margin}
}

// Key returns the key of the lease's row.
func (ls *Lease) Key() string {
	return ls.key
}

// Observe looks at the row as it was read and says what to do.
func (ls *Lease) Observe(now time.Time, row table.Row) Step {
	record := Record{}
	if row.Version > 0 && json.Unmarshal(row.Value, &record) != nil {
		record = Record{Holder: "unreadable", DurationMs: ls.duration.Milliseconds()}
	}
	if row.Version == 0 {
		return ls.commit(now, row, 1)
	}
	if ls.held && record.Holder == ls.holder && record.Number == ls.number && ls.IsHeld(now) {
		return ls.commit(now, row, ls.number)
	}
	// Only this instance's own clock tells how long the row has stood still: a holder that renews changes
	// its version. An instance that finds its own name here has restarted, or lost the lease by a pause,
	// and waits like any other.
	if row.Version != ls.seen {
		ls.seen, ls.seenAt = row.Version, now
	}
	length := max(time.Duration(record.DurationMs)*time.Millisecond, ls.duration)
	if age := elapsed(ls.seenAt, now); age < length {
		return Wait{For: length - age}
	}
	return ls.commit(now, row, record.Number+1)
}

func (ls *Lease) commit(now time.Time, row table.Row, number int64) Step {
	ls.pending = now
	encoded, _ := json.Marshal(Record{Holder: ls.holder, Number: number, DurationMs: ls.duration.Milliseconds()})
	return Commit{FencingToken: number, Transaction: table.Transaction{
		Conditions: []table.Condition{{Key: ls.key, Version: row.Version}},
		Writes:     []table.Write{{Key: ls.key, Value: encoded}},
	}}
}

// RecordCommit books the outcome of a commit. Only a certain success counts; after a lost answer the lease runs
// out on its old time.
func (ls *Lease) RecordCommit(step Commit, outcome table.Outcome) {
	if _, committed := outcome.(table.Committed); !committed {
		return
	}
	invariant.Check(step.FencingToken >= ls.number, "a lease's number never falls", "%s from %d to %d", ls.key, ls.number, step.FencingToken)
	ls.held, ls.number, ls.began = true, step.FencingToken, ls.pending
}

// FencingToken returns the fencing number of the lease, which is 0 before it was ever held.
func (ls *Lease) FencingToken() int64 {
	return ls.number
}

// Remaining returns how long the holder may still rely on the lease; it is not positive once it is lost.
func (ls *Lease) Remaining(now time.Time) time.Duration {
	if !ls.held {
		return 0
	}
	return ls.duration - ls.margin - elapsed(ls.began, now)
}

// IsHeld reports whether the lease is held; it is to be asked before each use.
func (ls *Lease) IsHeld(now time.Time) bool {
	return ls.Remaining(now) > 0
}

// elapsed is the longer of the times that the monotonic and the wall clock saw pass: the first stands still
// while a machine is suspended, the second can be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
