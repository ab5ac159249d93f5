package instance

import (
	"context"
	"fmt"
	"net"
	"sort"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/news"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
)

// Ready reports whether a balancer should send requests here, and if not, why.
func (in *Instance) Ready() (bool, string) {
	switch in.gate.Phase() {
	case drain.Serving:
		return true, ""
	case drain.Starting:
		return false, "no document: neither the platform nor a peer has sent one"
	case drain.Noticed, drain.Closed:
		return false, "the instance is stopping"
	}
	return false, "unknown phase"
}

// Stop makes Run stop gracefully; it may be called more than once.
func (in *Instance) Stop() {
	in.stopOnce.Do(func() { close(in.stop) })
}

const (
	// noticeTime is how long a balancer has to see that the instance is no longer ready.
	noticeTime = 2 * time.Second
	// farewellTime is how long the instance tries to tell its partners that it leaves.
	farewellTime = 500 * time.Millisecond
	// settleTime is how long the instance waits for kept answers to be written.
	settleTime = 5 * time.Second
)

// shutdown ends the service without cutting off what is in flight, however long that takes.
func (in *Instance) shutdown(ctx context.Context) {
	in.events.Record(&wire.Event{Kind: wire.EventKind_EventStopping})
	in.gate.Advance(drain.Noticed)
	in.caller.SetKeepAlivesEnabled(false)
	_ = in.timers.Sleep(ctx, noticeTime)
	// Shutdown closes the listener and idle connections, and waits for the others without a limit.
	_ = in.caller.Shutdown(ctx)
	_ = in.gate.Wait(ctx, in.timers)
	in.gate.Advance(drain.Closed)
	in.settleClaims(ctx)
	farewell, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	in.peer.Leave(farewell)
	in.peerCalls.Stop()
	_ = in.operator.Close()
}

// settleClaims waits for answers of claimed requests to be kept; without that they stay Unknown, which is safe.
func (in *Instance) settleClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for in.claimant.Owed() > 0 {
		if in.timers.Sleep(ctx, 10*time.Millisecond) != nil {
			return
		}
	}
}

// UnknownUpstreamError says that the document in force names no such upstream.
type UnknownUpstreamError struct {
	Name string
}

// Error names the upstream.
func (uu UnknownUpstreamError) Error() string {
	return "no upstream " + strconv.Quote(uu.Name) + " in the document"
}

// LeaveUpstream takes an upstream out of use on all instances; stored says whether the platform keeps it
// for instances that start later without meeting a peer.
func (in *Instance) LeaveUpstream(ctx context.Context, name string) (stored bool, err error) {
	current := in.holder.Current()
	if current == nil || current.Upstreams[name] == nil {
		return false, UnknownUpstreamError{Name: name}
	}
	incarnation := current.Upstreams[name].Incarnation
	in.peer.ReportLeaving(news.Leaving{Upstream: name, Incarnation: incarnation})
	return in.storeLeaving(ctx, name, incarnation), nil
}

func (in *Instance) storeLeaving(ctx context.Context, name string, incarnation int64) bool {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(in.settings.GetPlatform().GetCallTimeoutMs()))
	defer cancel()
	key := leavingPrefix + name
	rows, read := in.store.Read(ctx, key).(table.Rows)
	if !read {
		return false
	}
	row := table.Find(rows.Rows, key)
	if incarnationOf(row.Value) >= incarnation {
		return true
	}
	outcome := in.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Value: []byte(strconv.FormatInt(incarnation, 10))}},
	})
	_, committed := outcome.(table.Committed)
	return committed
}

// Status is what the instance says of itself and of the others.
func (in *Instance) Status(ctx context.Context) operator.Status {
	own := in.settings.GetInstance()
	status := operator.Status{
		ID: own.GetId(), FailureDomain: own.GetFailureDomain(), Phase: in.gate.Phase().String(),
		Revision: in.holder.Revision(), InFlight: in.gate.InFlight(), PlatformUp: in.up.Load(),
		ClaimsOwed: in.claimant.Owed(), Members: in.memberStatuses(ctx),
	}
	for _, item := range in.peer.Leaving() {
		status.Leaving = append(status.Leaving, fmt.Sprintf("%s/%d", item.Upstream, item.Incarnation))
	}
	for name, each := range *in.pools.Load() {
		upstreams, waiting := each.Statuses()
		status.Pools = append(status.Pools, operator.PoolStatus{Name: name, Waiting: waiting, Upstreams: upstreams})
	}
	sort.Slice(status.Pools, func(left, right int) bool { return status.Pools[left].Name < status.Pools[right].Name })
	return status
}

func (in *Instance) memberStatuses(ctx context.Context) []operator.MemberStatus {
	revisions := in.peer.Revisions(ctx)
	list := []operator.MemberStatus{}
	for _, mb := range in.peer.Members() {
		known, answered := revisions[mb.ID]
		if !answered {
			known = -1
		}
		list = append(list, operator.MemberStatus{
			ID: mb.ID, Address: mb.Address, FailureDomain: mb.FailureDomain, Incarnation: mb.Incarnation,
			Liveness: wire.Liveness(mb.Liveness).String(), Revision: known,
		})
	}
	return list
}

// dialPeer makes a link to another instance.
func (in *Instance) dialPeer(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func (in *Instance) peerServer() (*grpc.Server, error) {
	return grpc.NewServer(), nil
}

// secure puts TLS on the listeners if the settings ask for it.
func (in *Instance) secure(callers, operators net.Listener) (net.Listener, net.Listener, error) {
	return callers, operators, nil
}

// meteredStore counts the calls to the table service.
type meteredStore struct {
	next    table.Store
	metrics *metric.Set
}

func (ms meteredStore) book(call string, outcome table.Outcome) table.Outcome {
	ms.metrics.TableCall(call, fmt.Sprintf("%T", outcome)[len("table."):])
	return outcome
}

func (ms meteredStore) Read(ctx context.Context, keys ...string) table.Outcome {
	return ms.book("Read", ms.next.Read(ctx, keys...))
}

func (ms meteredStore) List(ctx context.Context, prefix string) table.Outcome {
	return ms.book("List", ms.next.List(ctx, prefix))
}

func (ms meteredStore) Commit(ctx context.Context, transaction table.Transaction) table.Outcome {
	return ms.book("Commit", ms.next.Commit(ctx, transaction))
}
