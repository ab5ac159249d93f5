package memorybudget

import "time"

// Cause is the reason why a body was refused or a connection closed.
type Cause string

// The causes of refusals and closed connections.
const (
	// TooManyConnections: the maximum number of connections was reached.
	TooManyConnections Cause = "TooManyConnections"
	// HeadTooLong: the head exceeds the limit of a head; HeadsFull: the memory for incomplete heads is used up.
	HeadTooLong Cause = "HeadTooLong"
	HeadsFull   Cause = "HeadsFull"
	// HeadTimeout: the head was not complete in time; IdleTimeout: no request came for too long.
	HeadTimeout Cause = "HeadTimeout"
	IdleTimeout Cause = "IdleTimeout"
	// Stalled: less than 4 KiB of the body arrived within a second while others needed its memory or its connection.
	Stalled Cause = "Stalled"
	// NoMemory: no memory for the body became free in time.
	NoMemory Cause = "NoMemory"
	// OverShare: the organisation's bodies held more than half of the memory while the body of another one waited.
	OverShare Cause = "OverShare"
)

// Action is what the caller of a budget must do after a decision. It is sealed: its variants are CloseConnection, RefuseHead,
// GrantBody, RefuseBody and YieldBody.
type Action interface {
	action()
}

// CloseConnection means that a connection must be closed; it no longer counts.
type CloseConnection struct {
	Connection *Connection
	Cause      Cause
}

func (CloseConnection) action() {}

// RefuseHead means that the head that is being read from a connection must be refused, and the connection closed. It counts until Close.
type RefuseHead struct {
	Connection *Connection
}

func (RefuseHead) action() {}

// GrantBody means that a waiting body has got the memory that it asked for.
type GrantBody struct {
	Body *Body
}

func (GrantBody) action() {}

// RefuseBody means that a body gets no memory, after it has waited or at once if too many wait. Its request must not run; its caller may retry after RetryAfter.
type RefuseBody struct {
	Body       *Body
	Cause      Cause
	RetryAfter time.Duration
}

func (RefuseBody) action() {}

// YieldBody means that a stalled body must no longer be read, and must be released. Its request must not run.
type YieldBody struct {
	Body  *Body
	Cause Cause
}

func (YieldBody) action() {}
