package memorybudget

import "time"

// Cause is the reason why a body was refused or a connection closed.
type Cause string

// The causes of refusals and closed connections.
const (
	// TooManyConnections: the number of connections was reached.
	TooManyConnections Cause = "TooManyConnections"
	// HeadTooLong: the head exceeds the limit of a head; HeadsFull: the memory for incomplete heads is used up.
	HeadTooLong Cause = "HeadTooLong"
	HeadsFull   Cause = "HeadsFull"
	// HeadTimeout: the head was not complete in time; IdleTimeout: no request came for too long.
	HeadTimeout Cause = "HeadTimeout"
	IdleTimeout Cause = "IdleTimeout"
	// Stalled: too little of the body arrived for a second while others needed its memory or its connection.
	Stalled Cause = "Stalled"
	// NoMemory: no memory for the body was free for too long.
	NoMemory Cause = "NoMemory"
	// OverShare: the organisation's bodies held more than half of the memory while the body of another one waited.
	OverShare Cause = "OverShare"
)

// Action is what the owner of a budget must do after a decision. It is sealed: its variants are CloseConnection, RefuseHead,
// GrantBody, RefuseBody and YieldBody.
type Action interface {
	action()
}

// CloseConnection asks to close a connection, which no longer counts.
type CloseConnection struct {
	Connection *Connection
	Cause      Cause
}

func (CloseConnection) action() {}

// RefuseHead asks to refuse the head that a connection is reading, and to close the connection.
type RefuseHead struct {
	Connection *Connection
}

func (RefuseHead) action() {}

// GrantBody tells that a body has got the memory that it asked for.
type GrantBody struct {
	Body *Body
}

func (GrantBody) action() {}

// RefuseBody tells that a body which waits gets no memory. Its request must not run, and its caller may retry after a time.
type RefuseBody struct {
	Body       *Body
	Cause      Cause
	RetryAfter time.Duration
}

func (RefuseBody) action() {}

// YieldBody asks to stop the reading of a body and to release it. Its request must not run.
type YieldBody struct {
	Body  *Body
	Cause Cause
}

func (YieldBody) action() {}
