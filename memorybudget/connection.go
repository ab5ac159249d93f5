package memorybudget

import "time"

// Connection is a caller's connection.
type Connection struct {
	// since is when it became idle, or when its head began.
	since time.Time
	// head is the number of bytes of its current head that were read, headMemory the memory that they take.
	head           int64
	headMemory     int64
	closed         bool
	list           *list
	previous, next *Connection
}

// A timeout is enforced after 1/timeoutMarginDivisor more than its configured time, for slow machines.
const timeoutMarginDivisor = 4

// The maximum number of connections may be exceeded by 1/overshootDivisor of it while the connections of bodies that have yielded are being closed.
const overshootDivisor = 16

// Accept counts a new connection. If there are too many, it closes the one that has been idle longest, else the one whose head has been
// incomplete longest. If there is neither, the body that has stalled longest yields; without such a body, the new connection is closed.
func (bu *Budget) Accept(now time.Time) (*Connection, []Action) {
	cn := &Connection{since: now}
	bu.connections++
	if bu.connections <= bu.limits.Connections {
		bu.idle.append(cn)
		return cn, nil
	}
	for _, candidates := range []*list{&bu.idle, &bu.heads} {
		if candidates.first != nil {
			closed := bu.close(candidates.first, TooManyConnections)
			bu.idle.append(cn)
			return cn, []Action{closed}
		}
	}
	stalled := bu.stalledLongest(now, func(*Body) bool { return true })
	if stalled == nil || bu.connections > bu.limits.Connections+bu.limits.Connections/overshootDivisor {
		return cn, []Action{bu.close(cn, TooManyConnections)}
	}
	bu.idle.append(cn)
	return cn, []Action{bu.yield(stalled)}
}

func (bu *Budget) close(cn *Connection, cause Cause) Action {
	bu.Close(cn)
	return CloseConnection{Connection: cn, Cause: cause}
}

// ReadHead counts bytes that were read before the head of a request was complete. It refuses a head over the limit and, if the memory for
// heads is used up, closes the connections whose requests have been incomplete longest.
func (bu *Budget) ReadHead(now time.Time, cn *Connection, count int) []Action {
	if cn.closed {
		return nil
	}
	if cn.list != &bu.heads {
		cn.removeFromList()
		cn.since = now
		bu.heads.append(cn)
	}
	cn.head += int64(count)
	cn.headMemory += int64(count) * HeadWeight
	bu.headBytes += int64(count) * HeadWeight
	if bu.caller.HeadBytes > 0 && cn.head > bu.caller.HeadBytes+headSlack {
		cn.removeFromList()
		bu.releaseHead(cn)
		return []Action{RefuseHead{Connection: cn}}
	}
	actions := []Action(nil)
	for bu.headBytes > bu.limits.HeadBytes {
		oldest := bu.heads.first
		if bu.unread.first != nil && bu.unread.first.since.Before(oldest.since) {
			oldest = bu.unread.first
		}
		actions = append(actions, bu.close(oldest, HeadsFull))
		if oldest == cn {
			break
		}
	}
	return actions
}

// CompleteHead records that the head of a request is complete; it counts until CompleteRequest.
func (bu *Budget) CompleteHead(cn *Connection) {
	if cn.closed {
		return
	}
	cn.removeFromList()
	bu.unread.append(cn)
}

// ParsedHead records the memory that a complete head takes, which is mostly far less than HeadWeight times its bytes: these include the
// beginning of the body, if it was read together with the head.
func (bu *Budget) ParsedHead(cn *Connection, size int64) {
	if cn.closed || size >= cn.headMemory {
		return
	}
	bu.headBytes -= cn.headMemory - size
	cn.headMemory = size
}

// CompleteRequest records that a request was read to its end; its head no longer counts.
func (bu *Budget) CompleteRequest(cn *Connection) {
	if cn.closed {
		return
	}
	cn.removeFromList()
	bu.releaseHead(cn)
}

// Idle records that a connection waits for its next request.
func (bu *Budget) Idle(now time.Time, cn *Connection) {
	if cn.closed {
		return
	}
	cn.removeFromList()
	bu.releaseHead(cn)
	cn.since = now
	bu.idle.append(cn)
}

// Close records that a connection was closed; further calls with it do nothing.
func (bu *Budget) Close(cn *Connection) {
	if cn.closed {
		return
	}
	cn.closed = true
	cn.removeFromList()
	bu.releaseHead(cn)
	bu.connections--
}

func (bu *Budget) releaseHead(cn *Connection) {
	bu.headBytes -= cn.headMemory
	cn.head, cn.headMemory = 0, 0
}

// timedList is a list of connections that are closed once they have been in it for a time; 0 means that they are not.
type timedList struct {
	list    *list
	allowed time.Duration
	cause   Cause
}

// timedLists returns the lists whose connections have a timeout, with the margin added to it.
func (bu *Budget) timedLists() [2]timedList {
	withMargin := func(timeout time.Duration) time.Duration { return timeout + timeout/timeoutMarginDivisor }
	return [2]timedList{
		{&bu.heads, withMargin(bu.caller.HeadTimeout), HeadTimeout},
		{&bu.idle, withMargin(bu.caller.IdleTimeout), IdleTimeout},
	}
}

// closeOverdue closes the connections whose head or whose next request has taken too long.
func (bu *Budget) closeOverdue(now time.Time) []Action {
	actions := []Action(nil)
	for _, each := range bu.timedLists() {
		for each.allowed > 0 && each.list.first != nil && now.Sub(each.list.first.since) >= each.allowed {
			actions = append(actions, bu.close(each.list.first, each.cause))
		}
	}
	return actions
}
