package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Job is the items of one stage of a request, to be executed by a pool.
type Job struct {
	Pool      string
	RequestID string
	Stage     int
	Count     int
	// Key is sent with the items of a stage that reads no results of other stages.
	Key string
	// Inputs are the handles of the results of earlier stages that the items read.
	Inputs []string
	// Rank is the priority, of which 0 is the highest.
	Rank int
	// Due is when the results are needed for the request to be on time.
	Due time.Time
	// Expires is when the results are of no more use.
	Expires time.Time
	// ResultBytes is the size of one item's result.
	ResultBytes int64
	// MayHaveRun is set if another instance may have sent the items before: each send then counts against the retry budget.
	MayHaveRun bool
	// FinishBy is when all stages must be done for the request to be on time; zero skips the check of later pools.
	FinishBy time.Time
	// LowUrgency is set if the request has enough slack to wait behind others in later pools.
	LowUrgency bool
	// LaterItems are the items that later stages of the request will submit to other pools.
	LaterItems []PoolItems
}

// PoolItems is a number of items to be executed by a pool.
type PoolItems struct {
	Pool  string
	Items int
	// DueSoon is how many of the items are due soon.
	DueSoon int
}

// Item is one item of a call to an upstream.
type Item struct {
	RequestID string
	Stage     int
	Index     int
	Key       string
	Inputs    []string
	Remaining time.Duration
}

// Reason is why an upstream returned no result for an item.
type Reason string

// The reasons that upstreams give; ReasonNone stands with a result.
const (
	ReasonNone Reason = ""
	// ReasonLate is an item whose deadline passed before the upstream started it.
	ReasonLate Reason = "Late"
	// ReasonInputGone is an item with an input that no upstream holds any more.
	ReasonInputGone Reason = "InputGone"
	// ReasonNoRoom is an item for whose result the upstream had no memory.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonError is any other failure.
	ReasonError Reason = "Error"
)

// ItemResult identifies an item's result by its handle, or holds the reason why there is none.
type ItemResult struct {
	Handle        string
	FailureDomain string
	Reason        Reason
}

// Outcome is how a call to an upstream ended. It is sealed: its variants are Ran, NotRun, NotSent, Limited and
// Lost.
type Outcome interface {
	outcome()
}

// Ran is the outcome of a call that the upstream executed; it has one result for each item, in the order of the items.
type Ran struct {
	Results []ItemResult
}

func (Ran) outcome() {}

// NotRun is the outcome of a call that the upstream refused; Misdirected is set if another upstream now has the address.
type NotRun struct {
	Misdirected bool
}

func (NotRun) outcome() {}

// NotSent is the outcome of a call that could not be sent, since no connection to the upstream could be made.
type NotSent struct {
	Cause string
}

func (NotSent) outcome() {}

// Limited is the outcome of a call that was not sent, since the upstream's rate limit allows none for RetryAfter.
type Limited struct {
	RetryAfter time.Duration
}

func (Limited) outcome() {}

// Lost is the outcome of a call that was sent and returned no usable answer; its items may have run.
type Lost struct {
	Cause string
}

func (Lost) outcome() {}

// Caller makes calls to upstreams.
type Caller interface {
	// RunItems sends a call and returns Ran, NotRun, NotSent or Lost.
	RunItems(ctx context.Context, upstream *roster.Upstream, items []Item) Outcome
	// AvailableResultBytes returns the memory that an upstream has left for results, in bytes.
	AvailableResultBytes(ctx context.Context, upstream *roster.Upstream) (int64, error)
	// FreeResults frees results that an upstream holds.
	FreeResults(ctx context.Context, upstream *roster.Upstream, handles []string) error
}

// Result is how a job ended. It is sealed: its variants are Finished, Refused and Unfinished.
type Result interface {
	result()
}

// Finished is the result of a job in which each item has a result.
type Finished struct {
	Results []ItemResult
}

func (Finished) result() {}

// Refused is the result of a job that was not accepted: none of its items was sent. Wait is the expected wait for its
// results or, if FullPool is set, for those of that pool.
type Refused struct {
	Wait  time.Duration
	Cause string
	// FullPool is the later pool whose wait is too long in this failure domain, if that is the cause.
	FullPool string
}

func (Refused) result() {}

// Unfinished is the result of a job in which some items have no result; Results holds the results of the others.
type Unfinished struct {
	Cause string
	// Wait is the expected wait for the results, or 0 if it is unknown.
	Wait    time.Duration
	Results []ItemResult
	// MayHaveRun is set if items were sent, or may have been.
	MayHaveRun bool
}

func (Unfinished) result() {}
