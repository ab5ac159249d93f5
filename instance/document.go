package instance

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/drain"
	"github.com/turmericdoor/turmericdoor/limit"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/news"
	"github.com/turmericdoor/turmericdoor/pool"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
)

// documentInstalled brings the pools in line with a document that has just come into force.
func (in *Instance) documentInstalled(fresh *document.Document) {
	in.poolsMu.Lock()
	defer in.poolsMu.Unlock()
	before := *in.pools.Load()
	after := make(map[string]*pool.Pool, len(before))
	for name, kept := range before {
		after[name] = kept
	}
	for name, part := range fresh.Pools {
		if after[name] == nil {
			after[name] = in.newPool(part)
		}
		after[name].Update(part, fresh.RankOrder)
	}
	in.pools.Store(&after)
	in.events.Record(&wire.Event{Kind: wire.EventKind_EventDocumentInstalled, Revision: fresh.Revision})
	in.gate.Advance(drain.Serving)
	in.peer.Announce()
}

// newPool makes a pool that already knows which upstreams are leaving.
func (in *Instance) newPool(part *document.Pool) *pool.Pool {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decider := dispatch.New(limit.Adaptive{}, random, int(in.settings.GetLimits().GetMaxWaiting()), part.StageTime)
	decider.SetPeers(int(in.live.Load()))
	for _, item := range in.peer.Leaving() {
		decider.Leave(item.Upstream, item.Incarnation)
	}
	made := pool.New(in.timers, decider)
	in.start(made.Run)
	return made
}

// MembersChanged tells the pools how many instances share the upstreams.
func (in *Instance) MembersChanged(_ []member.Change, live int) {
	in.poolsMu.Lock()
	defer in.poolsMu.Unlock()
	in.live.Store(int64(live))
	for _, each := range *in.pools.Load() {
		each.SetPeers(live)
	}
}

// UpstreamLeaving takes an upstream out of use.
func (in *Instance) UpstreamLeaving(item news.Leaving) {
	in.poolsMu.Lock()
	defer in.poolsMu.Unlock()
	for _, each := range *in.pools.Load() {
		each.Leave(item.Upstream, item.Incarnation)
	}
}

// DocumentFetched installs a document that a peer or the platform sent, if it is newer.
func (in *Instance) DocumentFetched(text document.Text) {
	if text.Revision <= in.holder.Revision() {
		return
	}
	parsed, faults := document.Parse(text)
	if len(faults) > 0 {
		in.logger.Error("document refused", "revision", text.Revision, "faults", len(faults), "first", faults[0].String())
		return
	}
	in.holder.Install(parsed)
}

// leavingPrefix is where leaving upstreams lie in the table; a row's value is the incarnation.
const leavingPrefix = "leaving/"

// maxBackoff is the longest wait between looks at a platform that does not answer.
const maxBackoff = 30 * time.Second

// poll looks at the platform now and again until ctx ends. Peers carry changes faster: this finds what they
// missed.
func (in *Instance) poll(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	interval := milliseconds(in.settings.GetPlatform().GetPollIntervalMs())
	wait := interval
	for {
		if in.look(ctx) {
			wait = interval
			in.platformUp(true)
		} else {
			wait = min(2*wait, max(maxBackoff, interval))
			in.platformUp(false)
		}
		// Before the first document there is no service to spare: look often.
		if in.holder.Current() == nil {
			wait = min(wait, time.Second)
		}
		if in.timers.Sleep(ctx, wait/2+time.Duration(rand.Int64N(int64(wait)))) != nil {
			return
		}
	}
}

func (in *Instance) platformUp(up bool) {
	if in.up.Swap(up) == up {
		return
	}
	kind := wire.EventKind_EventPlatformUnavailable
	if up {
		kind = wire.EventKind_EventPlatformBack
	}
	in.events.Record(&wire.Event{Kind: kind})
}

// look reads the document's head, the leaving upstreams and the instance list; it reports whether the table
// service answered.
func (in *Instance) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*milliseconds(in.settings.GetPlatform().GetCallTimeoutMs()))
	defer cancel()
	revision, err := in.editor.Head(ctx)
	if err != nil {
		return false
	}
	if !in.readLeaving(ctx) {
		return false
	}
	if revision > in.holder.Revision() {
		text, err := in.editor.Fetch(ctx)
		if err != nil {
			return false
		}
		in.DocumentFetched(text)
	}
	in.readListing(ctx)
	return true
}

func (in *Instance) readLeaving(ctx context.Context) bool {
	rows, read := in.store.List(ctx, leavingPrefix).(table.Rows)
	if !read {
		return false
	}
	for _, row := range rows.Rows {
		name := strings.TrimPrefix(row.Key, leavingPrefix)
		in.peer.ReportLeaving(news.Leaving{Upstream: name, Incarnation: incarnationOf(row.Value)})
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

// readListing takes the platform's list as a hint: it lags, so that only what it says of leaving counts.
func (in *Instance) readListing(ctx context.Context) {
	if in.listing == nil {
		return
	}
	listed, err := in.listing.Instances(ctx)
	if err != nil {
		return
	}
	for _, one := range listed {
		if one.Leaving {
			in.peer.ReportLeaving(news.Leaving{Upstream: one.Name, Incarnation: one.Incarnation})
		}
	}
}
