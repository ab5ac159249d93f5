package gather

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Job is the items of one request's stage.
type Job struct {
	Pool      string
	RequestID string
	Stage     int
	Count     int
	// Key goes with items of stages that read no results, Inputs are the results that the others read.
	Key         string
	Inputs      []string
	Rank        int
	Due         time.Time
	Expires     time.Time
	ResultBytes int64
	// MayHaveRun says that another instance may have sent the items before: each then counts as a repeated send.
	MayHaveRun bool
	// FinishBy is when all stages must be done for the request to be on time, or zero.
	FinishBy time.Time
	// LowUrgency says that the request's items go behind others.
	LowUrgency bool
	// LaterItems is what the request will need of other pools after this stage.
	LaterItems []PoolItems
}

// PoolItems is a number of items of a pool.
type PoolItems struct {
	Pool  string
	Items int
	// DueSoon are those of the items that are due soon.
	DueSoon int
}

// Item is one item of a call.
type Item struct {
	RequestID string
	Stage     int
	Index     int
	Key       string
	Inputs    []string
	Remaining time.Duration
}

// Reason is why an upstream made no result of an item.
type Reason string

// The reasons that upstreams give; ReasonNone is a result.
const (
	ReasonNone Reason = ""
	// ReasonLate is an item whose time was over at its turn.
	ReasonLate Reason = "Late"
	// ReasonInputGone is an item one of whose inputs no longer lies anywhere.
	ReasonInputGone Reason = "InputGone"
	// ReasonNoRoom is an item whose result had no room.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonError is any other failure.
	ReasonError Reason = "Error"
)

// ItemResult is where an item's result lies, or why there is none.
type ItemResult struct {
	Handle        string
	FailureDomain string
	Reason        Reason
}

// Outcome is how a call to an upstream ended; Ran, NotRun, NotSent and Lost are its variants.
type Outcome interface {
	outcome()
}

// Ran has one result for each item, in the order of the items.
type Ran struct {
	Results []ItemResult
}

func (Ran) outcome() {}

// NotRun says that the upstream refused the call; Misdirected that another upstream has its address now.
type NotRun struct {
	Misdirected bool
}

func (NotRun) outcome() {}

// NotSent says that there was no connection.
type NotSent struct {
	Cause string
}

func (NotSent) outcome() {}

// Lost says that there was no usable answer.
type Lost struct {
	Cause string
}

func (Lost) outcome() {}

// Caller makes calls to upstreams.
type Caller interface {
	// RunItems sends a call and returns Ran, NotRun, NotSent or Lost.
	RunItems(ctx context.Context, upstream *roster.Upstream, items []Item) Outcome
	// AvailableResultBytes returns the bytes that further results may take at an upstream.
	AvailableResultBytes(ctx context.Context, upstream *roster.Upstream) (int64, error)
	// FreeResults gives up results that lie at an upstream.
	FreeResults(ctx context.Context, upstream *roster.Upstream, handles []string) error
}

// Result is how work ended; Finished, Refused and Unfinished are its variants.
type Result interface {
	result()
}

// Finished has a result for each item.
type Finished struct {
	Results []ItemResult
}

func (Finished) result() {}

// Refused says that none of the items was sent; Wait is when there is room.
type Refused struct {
	Wait  time.Duration
	Cause string
	// FullPool is the later pool that has no room in time; another failure domain may.
	FullPool string
}

func (Refused) result() {}

// Unfinished says that some of the items have no result; Results holds those that were made.
type Unfinished struct {
	Cause string
	// Wait is how long the results were expected to take, or 0.
	Wait    time.Duration
	Results []ItemResult
	// MayHaveRun says that items were sent, or that this is not known.
	MayHaveRun bool
}

func (Unfinished) result() {}
