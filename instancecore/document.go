package instancecore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/limit"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/subset"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// applyDocument creates and updates the pools for a newly installed document, passes the document to the
// controller and marks the instance as serving.
func (cr *Core) applyDocument(fresh *document.Document) {
	cr.poolsMu.Lock()
	defer cr.poolsMu.Unlock()
	before := *cr.pools.Load()
	after := make(map[string]*pool.Pool, len(before))
	for name, existing := range before {
		after[name] = existing
	}
	for _, name := range slices.Sorted(maps.Keys(fresh.Pools)) {
		if after[name] == nil {
			after[name] = cr.newPool(fresh.Pools[name])
		}
		after[name].Update(cr.subsetOf(fresh.Pools[name]), fresh.RanksByPrecedence)
	}
	cr.pools.Store(&after)
	cr.controller.SetDocument(fresh)
	cr.events.Record(&wire.Event{Kind: wire.EventKind_EventDocumentInstalled, Revision: fresh.Revision})
	cr.gate.Advance(drain.Serving)
	cr.peer.TriggerHeartbeat()
}

// newPool creates a pool, marks the upstreams that are known to be leaving and starts the pool's goroutines.
func (cr *Core) newPool(config *document.Pool) *pool.Pool {
	generator := cr.random.Generator("pool/" + config.Name)
	dispatcher := dispatch.New(limit.Adaptive{}, generator, int(cr.settings.GetLimits().GetMaxWaiting()), config.StageTime)
	dispatcher.SetLiveInstances(int(cr.liveInstances.Load()))
	for _, item := range cr.peer.Leaving() {
		dispatcher.MarkLeaving(item.Upstream, item.Incarnation)
	}
	created := pool.New(cr.timers, dispatcher, cr.prober)
	cr.startTask(created.Run)
	cr.startTask(created.Probe)
	return created
}

// MembersChanged passes the number of live instances to the pools and recomputes the upstream subsets.
func (cr *Core) MembersChanged(_ []member.Change, live int) {
	cr.poolsMu.Lock()
	defer cr.poolsMu.Unlock()
	cr.liveInstances.Store(int64(live))
	for _, each := range *cr.pools.Load() {
		each.SetLiveInstances(live)
	}
	cr.updateSubsets()
}

const (
	// subsetThreshold is the number of upstreams from which an instance uses only a subset of a pool.
	subsetThreshold = 64
	// subsetSize is the approximate number of upstreams in the instance's own failure domain that a subset holds.
	subsetSize = 16
)

// subsetOf returns the pool reduced to the upstreams that this instance uses.
func (cr *Core) subsetOf(whole *document.Pool) *document.Pool {
	if len(whole.Upstreams) < subsetThreshold {
		return whole
	}
	instances, upstreams := []subset.Endpoint{}, []subset.Endpoint{}
	for _, mb := range cr.peer.Live() {
		instances = append(instances, subset.Endpoint{Name: mb.ID, FailureDomain: mb.FailureDomain})
	}
	for _, up := range whole.Upstreams {
		upstreams = append(upstreams, subset.Endpoint{Name: up.Name, FailureDomain: up.FailureDomain})
	}
	own := cr.settings.GetInstance()
	self := subset.Endpoint{Name: own.GetId(), FailureDomain: own.GetFailureDomain()}
	selected := subset.Select(self, instances, upstreams, subsetSize)
	reduced := *whole
	reduced.Upstreams = slices.DeleteFunc(slices.Clone(whole.Upstreams), func(up *document.Upstream) bool {
		return !slices.Contains(selected, up.Name)
	})
	return &reduced
}

// updateSubsets recomputes the subsets of large pools after a membership change; the caller holds poolsMu.
func (cr *Core) updateSubsets() {
	current := cr.holder.Current()
	if current == nil {
		return
	}
	for name, config := range current.Pools {
		if each := (*cr.pools.Load())[name]; each != nil && len(config.Upstreams) >= subsetThreshold {
			each.Update(cr.subsetOf(config), current.RanksByPrecedence)
		}
	}
}

// PartsBlocked does nothing: the product's own interface has prompts without parts.
func (*Core) PartsBlocked([]poison.Part) {}

// UpstreamLeaving marks an upstream as leaving in every pool, so that it gets no new work.
func (cr *Core) UpstreamLeaving(item gossip.LeavingUpstream) {
	cr.poolsMu.Lock()
	defer cr.poolsMu.Unlock()
	for _, each := range *cr.pools.Load() {
		each.MarkLeaving(item.Upstream, item.Incarnation)
	}
}

// DocumentFetched parses and installs a document from a peer or the platform, if it is newer than the one in
// force. A document with faults is refused and recorded as an event.
func (cr *Core) DocumentFetched(text document.Text) {
	if text.Revision <= cr.holder.Revision() {
		return
	}
	parsed, faults := document.Parse(text)
	if len(faults) > 0 {
		cr.events.Record(&wire.Event{Kind: wire.EventKind_EventDocumentRefused, Revision: text.Revision, Detail: faults[0].String()})
		return
	}
	cr.holder.Install(parsed)
}

// leavingPrefix is the key prefix of leaving upstreams in the table; a row's value is the incarnation.
const leavingPrefix = "leaving/"

// maxBackoff is the longest mean wait between polls of a platform that does not answer.
const maxBackoff = 30 * time.Second

// pollPlatform polls the platform at random intervals until ctx ends. Changes usually arrive sooner from peers;
// polling finds those that the peers missed.
func (cr *Core) pollPlatform(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	interval := timer.Milliseconds(cr.settings.GetPlatform().GetPollIntervalMs())
	wait := interval
	for {
		if cr.pollOnce(ctx) {
			wait = interval
		} else {
			wait = min(2*wait, max(maxBackoff, interval))
			cr.setPlatformUp(false)
		}
		// Without a document the instance serves nothing, so it polls at least once a second.
		if cr.holder.Current() == nil {
			wait = min(wait, time.Second)
		}
		if cr.timers.Sleep(ctx, wait/2+cr.random.DurationUpTo(wait)) != nil {
			return
		}
	}
}

// setPlatformUp stores whether the platform is reachable and records an event if that changed.
func (cr *Core) setPlatformUp(up bool) {
	if cr.platformUp.Swap(up) == up {
		return
	}
	kind := wire.EventKind_EventPlatformUnavailable
	if up {
		kind = wire.EventKind_EventPlatformBack
	}
	cr.events.Record(&wire.Event{Kind: kind})
}

// pollOnce reads the document's head revision, the leaving upstreams, the instance list and the registrations,
// and renews this instance's registration. It reports whether the table service answered.
func (cr *Core) pollOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*timer.Milliseconds(cr.settings.GetPlatform().GetCallTimeoutMs()))
	defer cancel()
	revision, err := cr.editor.HeadRevision(ctx)
	if err != nil {
		return false
	}
	if !cr.readLeaving(ctx) {
		return false
	}
	if revision > cr.holder.Revision() {
		text, err := cr.editor.Fetch(ctx)
		if err != nil {
			return false
		}
		cr.DocumentFetched(text)
	}
	cr.readInstanceList(ctx)
	cr.register(ctx)
	cr.discover(ctx)
	return true
}

func (cr *Core) readLeaving(ctx context.Context) bool {
	rows, read := cr.store.List(ctx, leavingPrefix).(table.Rows)
	if !read {
		return false
	}
	for _, row := range rows.Rows {
		name := strings.TrimPrefix(row.Key, leavingPrefix)
		cr.peer.ReportLeaving(gossip.LeavingUpstream{Upstream: name, Incarnation: incarnationOf(row.Value)})
	}
	return true
}

// incarnationOf parses the leading decimal digits of a row's value; an empty value is 0.
func incarnationOf(value []byte) int64 {
	number := int64(0)
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return number
		}
		number = number*10 + int64(digit-'0')
	}
	return number
}

// readInstanceList reports the leaving instances of the platform's list. The list lags, so its other entries
// are ignored.
func (cr *Core) readInstanceList(ctx context.Context) {
	if cr.instanceLister == nil {
		return
	}
	listed, err := cr.instanceLister.Instances(ctx)
	if err != nil {
		return
	}
	for _, entry := range listed {
		if entry.Leaving {
			cr.peer.ReportLeaving(gossip.LeavingUpstream{Upstream: entry.Name, Incarnation: entry.Incarnation})
		}
	}
}
