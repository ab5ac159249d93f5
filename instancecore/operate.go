package instancecore

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Ready reports whether a load balancer should send requests to this instance, and if not, the reason. The instance is
// ready while its gate, which admits requests by phase, is in phase Serving.
func (cr *Core) Ready() (bool, string) {
	switch cr.gate.Phase() {
	case drain.Serving:
		return true, ""
	case drain.Starting:
		return false, "no document: neither the platform nor a peer has sent one"
	case drain.Draining, drain.Closed:
		return false, "the instance is stopping"
	}
	return false, "unknown phase"
}

// Stop requests a graceful shutdown; it may be called more than once.
func (cr *Core) Stop() {
	cr.stopOnce.Do(func() { close(cr.stopRequested) })
}

// StopRequested returns a channel that is closed once Stop has been called.
func (cr *Core) StopRequested() <-chan struct{} {
	return cr.stopRequested
}

// StartDraining makes the instance report that it is not ready; it still serves requests.
func (cr *Core) StartDraining() {
	cr.events.Record(&wire.Event{Kind: wire.EventKind_EventStopping})
	cr.gate.Advance(drain.Draining)
}

const (
	// leaveTimeout bounds the messages that announce the instance's departure to its partners.
	leaveTimeout = 500 * time.Millisecond
	// claimUpdateTimeout bounds the wait for pending claim updates to be written.
	claimUpdateTimeout = 5 * time.Second
	// claimPollInterval is the time between two checks for pending claim updates.
	claimPollInterval = 10 * time.Millisecond
)

// Shutdown waits without a limit for the requests in flight, then writes pending claim updates, announces the
// departure to the partners and stops every background task.
func (cr *Core) Shutdown() {
	_ = cr.gate.Wait(cr.lifetime, cr.timers)
	cr.gate.Advance(drain.Closed)
	cr.awaitClaimUpdates(cr.lifetime)
	leaving, cancel := context.WithTimeout(cr.lifetime, leaveTimeout)
	defer cancel()
	cr.peer.Leave(leaving)
	cr.events.Record(&wire.Event{Kind: wire.EventKind_EventStopped})
	cr.Kill()
}

// Kill stops every background task without waiting for requests in flight.
func (cr *Core) Kill() {
	cr.cancel()
	cr.awaitTasks()
}

// awaitClaimUpdates waits until the answers of claimed requests are written. If the wait times out, the requests
// that are not written stay Unknown, which is safe.
func (cr *Core) awaitClaimUpdates(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimUpdateTimeout)
	defer cancel()
	for cr.claimant.PendingUpdates() > 0 {
		if cr.timers.Sleep(ctx, claimPollInterval) != nil {
			return
		}
	}
}

// UnknownUpstreamError is returned for an upstream that the document in force does not name.
type UnknownUpstreamError struct {
	Name string
}

// Error returns a message with the upstream's name.
func (uu UnknownUpstreamError) Error() string {
	return "no upstream " + strconv.Quote(uu.Name) + " in the document"
}

// LeaveUpstream takes an upstream out of use on all instances. stored reports whether the platform recorded it,
// which instances need that start later and reach no peer.
func (cr *Core) LeaveUpstream(ctx context.Context, name string) (stored bool, err error) {
	current := cr.holder.Current()
	if current == nil || current.Upstreams[name] == nil {
		return false, UnknownUpstreamError{Name: name}
	}
	incarnation := current.Upstreams[name].Incarnation
	cr.peer.ReportLeaving(gossip.LeavingUpstream{Upstream: name, Incarnation: incarnation})
	return cr.storeLeaving(ctx, name, incarnation), nil
}

// ReportUpstreamLeaving takes an upstream that announced its departure out of use on all instances. The platform
// is written once, in the background; peers spread the report in the meantime.
func (cr *Core) ReportUpstreamLeaving(up *document.Upstream) {
	if !cr.peer.ReportLeaving(gossip.LeavingUpstream{Upstream: up.Name, Incarnation: up.Incarnation}) {
		return
	}
	cr.startTask(func(ctx context.Context, done chan<- struct{}) {
		defer close(done)
		cr.storeLeaving(ctx, up.Name, up.Incarnation)
	})
}

// storeLeaving records an upstream's departure in the table and reports whether it is stored there.
func (cr *Core) storeLeaving(ctx context.Context, name string, incarnation int64) bool {
	ctx, cancel := context.WithTimeout(ctx, timer.Milliseconds(cr.settings.GetPlatform().GetCallTimeoutMs()))
	defer cancel()
	key := leavingPrefix + name
	rows, read := cr.store.Read(ctx, key).(table.Rows)
	if !read {
		return false
	}
	row := table.Find(rows.Rows, key)
	if incarnationOf(row.Value) >= incarnation {
		return true
	}
	outcome := cr.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Value: []byte(strconv.FormatInt(incarnation, 10))}},
	})
	_, committed := outcome.(table.Committed)
	return committed
}

// Status returns the state of this instance and its view of the members, upstreams and pools.
func (cr *Core) Status(ctx context.Context) operator.Status {
	own := cr.settings.GetInstance()
	status := operator.Status{
		ID: own.GetId(), FailureDomain: own.GetFailureDomain(), Phase: cr.gate.Phase().String(),
		Revision: cr.holder.Revision(), InFlight: cr.gate.InFlight(), PlatformUp: cr.platformUp.Load(),
		ClaimsOwed: cr.claimant.PendingUpdates(), Members: cr.memberStatuses(ctx),
	}
	for _, item := range cr.peer.Leaving() {
		status.Leaving = append(status.Leaving, fmt.Sprintf("%s/%d", item.Upstream, item.Incarnation))
	}
	for name, each := range *cr.pools.Load() {
		upstreams, waiting := each.Statuses()
		status.Pools = append(status.Pools, operator.PoolStatus{Name: name, Waiting: waiting, Upstreams: upstreams})
	}
	sort.Slice(status.Pools, func(left, right int) bool { return status.Pools[left].Name < status.Pools[right].Name })
	return status
}

func (cr *Core) memberStatuses(ctx context.Context) []operator.MemberStatus {
	revisions := cr.peer.Revisions(ctx)
	list := []operator.MemberStatus{}
	for _, mb := range cr.peer.Members() {
		revision, answered := revisions[mb.ID]
		if !answered {
			revision = -1
		}
		list = append(list, operator.MemberStatus{
			ID: mb.ID, Address: mb.Address, FailureDomain: mb.FailureDomain, Incarnation: mb.Incarnation,
			Liveness: wire.Liveness(mb.Liveness).String(), Revision: revision,
		})
	}
	return list
}

// meteredStore is a table.Store that counts calls by outcome and calls onAnswer whenever the table service
// answers.
type meteredStore struct {
	next     table.Store
	metrics  *metric.Set
	onAnswer func()
}

func (ms meteredStore) record(call string, outcome table.Outcome) table.Outcome {
	ms.metrics.RecordTableCall(call, fmt.Sprintf("%T", outcome)[len("table."):])
	switch outcome.(type) {
	case table.Rows, table.Committed, table.Conflict:
		ms.onAnswer()
	case table.Unknown, table.Unavailable:
	}
	return outcome
}

func (ms meteredStore) Read(ctx context.Context, keys ...string) table.Outcome {
	return ms.record("Read", ms.next.Read(ctx, keys...))
}

func (ms meteredStore) List(ctx context.Context, prefix string) table.Outcome {
	return ms.record("List", ms.next.List(ctx, prefix))
}

func (ms meteredStore) Commit(ctx context.Context, transaction table.Transaction) table.Outcome {
	return ms.record("Commit", ms.next.Commit(ctx, transaction))
}
