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
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/subset"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// applyDocument brings the pools in line with a document that has just come into force.
func (cr *Core) applyDocument(fresh *document.Document) {
	cr.poolsMu.Lock()
	defer cr.poolsMu.Unlock()
	before := *cr.pools.Load()
	after := make(map[string]*pool.Pool, len(before))
	for name, kept := range before {
		after[name] = kept
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

// newPool makes a pool that already knows which upstreams are leaving.
func (cr *Core) newPool(part *document.Pool) *pool.Pool {
	random := cr.random.Generator("pool/" + part.Name)
	decider := dispatch.New(limit.Adaptive{}, random, int(cr.settings.GetLimits().GetMaxWaiting()), part.StageTime)
	decider.SetLiveInstances(int(cr.liveInstances.Load()))
	for _, item := range cr.peer.Leaving() {
		decider.MarkLeaving(item.Upstream, item.Incarnation)
	}
	made := pool.New(cr.timers, decider, cr.prober)
	cr.startTask(made.Run)
	cr.startTask(made.Probe)
	return made
}

// MembersChanged tells the pools how many instances share the upstreams.
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
	// subsetThreshold is the size of a pool from which on each instance uses a part of it.
	subsetThreshold = 64
	// subsetSize is about how many upstreams of its own failure domain an instance uses of such a pool.
	subsetSize = 16
)

// subsetOf is the part of a pool that this instance uses.
func (cr *Core) subsetOf(part *document.Pool) *document.Pool {
	if len(part.Upstreams) < subsetThreshold {
		return part
	}
	instances, upstreams := []subset.Endpoint{}, []subset.Endpoint{}
	for _, mb := range cr.peer.Live() {
		instances = append(instances, subset.Endpoint{Name: mb.ID, FailureDomain: mb.FailureDomain})
	}
	for _, up := range part.Upstreams {
		upstreams = append(upstreams, subset.Endpoint{Name: up.Name, FailureDomain: up.FailureDomain})
	}
	own := cr.settings.GetInstance()
	self := subset.Endpoint{Name: own.GetId(), FailureDomain: own.GetFailureDomain()}
	chosen := subset.Select(self, instances, upstreams, subsetSize)
	dealt := *part
	dealt.Upstreams = slices.DeleteFunc(slices.Clone(part.Upstreams), func(up *document.Upstream) bool {
		return !slices.Contains(chosen, up.Name)
	})
	return &dealt
}

// updateSubsets brings the parts of large pools in line with the members; poolsMu is held.
func (cr *Core) updateSubsets() {
	current := cr.holder.Current()
	if current == nil {
		return
	}
	for name, part := range current.Pools {
		if each := (*cr.pools.Load())[name]; each != nil && len(part.Upstreams) >= subsetThreshold {
			each.Update(cr.subsetOf(part), current.RanksByPrecedence)
		}
	}
}

// UpstreamLeaving takes an upstream out of use.
func (cr *Core) UpstreamLeaving(item gossip.LeavingUpstream) {
	cr.poolsMu.Lock()
	defer cr.poolsMu.Unlock()
	for _, each := range *cr.pools.Load() {
		each.MarkLeaving(item.Upstream, item.Incarnation)
	}
}

// DocumentFetched installs a document that a peer or the platform sent, if it is newer.
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

// leavingPrefix is where leaving upstreams lie in the table; a row's value is the incarnation.
const leavingPrefix = "leaving/"

// maxBackoff is the longest wait between looks at a platform that does not answer.
const maxBackoff = 30 * time.Second

// pollPlatform looks at the platform now and again until ctx ends. Peers carry changes faster: this finds what they
// missed.
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
		// Before the first document there is no service to spare: look often.
		if cr.holder.Current() == nil {
			wait = min(wait, time.Second)
		}
		if cr.timers.Sleep(ctx, wait/2+cr.random.DurationUpTo(wait)) != nil {
			return
		}
	}
}

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

// pollOnce reads the document's head, the leaving upstreams and the instance list; it reports whether the table
// service answered.
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

// readInstanceList takes the platform's list as a hint: it lags, so that only what it says of leaving counts.
func (cr *Core) readInstanceList(ctx context.Context) {
	if cr.instanceLister == nil {
		return
	}
	listed, err := cr.instanceLister.Instances(ctx)
	if err != nil {
		return
	}
	for _, one := range listed {
		if one.Leaving {
			cr.peer.ReportLeaving(gossip.LeavingUpstream{Upstream: one.Name, Incarnation: one.Incarnation})
		}
	}
}
