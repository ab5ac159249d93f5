package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Listener is told what a peer learns; its methods must not block.
type Listener interface {
	MembersChanged(changes []member.Change, live int)
	UpstreamLeaving(item gossip.LeavingUpstream)
	DocumentFetched(text document.Text)
}

// Replicas are the replicas of the platform's tables that instances pass on to each other.
type Replicas interface {
	// Versions returns how far the replicas have come.
	Versions() []*wire.TableVersion
	// ChangesSince returns what changed in a table after a version.
	ChangesSince(table string, version int64) *wire.FetchRowsReply
	// ObserveVersion takes note of how far another instance has come, and reports whether rows should be fetched from it.
	ObserveVersion(version *wire.TableVersion) bool
	// ApplyRows applies rows that another instance sent.
	ApplyRows(table string, reply *wire.FetchRowsReply)
}

// Peer is this instance among the others.
type Peer struct {
	wire.UnimplementedPeerServer

	timers      *timer.Service
	clock       *hlc.Clock
	events      *timeline.Ring
	holder      *revision.Holder
	listener    Listener
	rows        Replicas
	config      Config
	selfID      string
	selfAddress string
	dialer      Dialer
	chance      *entropy.Source
	mu          sync.Mutex
	members     *member.View
	board       *gossip.State
	crashes     *quarantine.Registry
	standings   atomic.Pointer[map[digest.Sum]bool]
	links       map[string]*keptLink
	urgent      chan struct{}
	lastFull    time.Time
	fetching    atomic.Bool
	inFlight    inflight.Group
}

// Config sets how a peer talks to the others.
type Config struct {
	Member    member.Config
	Seeds     []string
	Heartbeat time.Duration
}

// Dialer makes a link to another instance's address.
type Dialer func(address string) (Link, error)

// Parts are what a peer works with; Rows may be nil.
type Parts struct {
	Replicas Replicas
	Timers   *timer.Service
	Clock    *hlc.Clock
	Events   *timeline.Ring
	Holder   *revision.Holder
	Listener Listener
	Members  *member.View
	Dialer   Dialer
	Random   *entropy.Source
}

// New returns a peer that knows nobody but its seeds; Run must be running.
func New(parts Parts, config Config) *Peer {
	pr := &Peer{
		timers: parts.Timers, clock: parts.Clock, events: parts.Events, holder: parts.Holder,
		listener: parts.Listener, rows: parts.Replicas, config: config, dialer: parts.Dialer, chance: parts.Random, members: parts.Members,
		board: gossip.New(), crashes: quarantine.New(), links: map[string]*keptLink{},
		urgent: make(chan struct{}, 1), selfID: parts.Members.Self().ID, selfAddress: parts.Members.Self().Address,
	}
	pr.standings.Store(&map[digest.Sum]bool{})
	return pr
}

func (pr *Peer) stamp() *wire.Stamp {
	read := pr.clock.Now()
	return &wire.Stamp{WallMicros: read.WallMicros, Logical: read.Logical}
}

func (pr *Peer) observe(stamp *wire.Stamp) {
	pr.clock.Observe(hlc.Timestamp{WallMicros: stamp.GetWallMicros(), Logical: stamp.GetLogical()})
}

// Live returns the members that are not known to be gone, this one included.
func (pr *Peer) Live() []member.Member {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.members.Live()
}

// Members returns all members that are remembered, this one included.
func (pr *Peer) Members() []member.Member {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.members.All()
}

// Leaving returns the upstreams that are known to be leaving.
func (pr *Peer) Leaving() []gossip.LeavingUpstream {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.board.LeavingUpstreams()
}

// ReportLeaving tells all instances that an upstream is leaving, and reports whether that was news here.
func (pr *Peer) ReportLeaving(item gossip.LeavingUpstream) bool {
	pr.mu.Lock()
	fresh := pr.board.AddLeaving(item)
	pr.mu.Unlock()
	if fresh {
		pr.announceLeaving(item)
		pr.push()
	}
	return fresh
}

func (pr *Peer) announceLeaving(item gossip.LeavingUpstream) {
	pr.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamLeaving, Upstream: item.Upstream, Revision: item.Incarnation})
	pr.listener.UpstreamLeaving(item)
}

// ReportCrash tells all instances that an upstream crashed on a content.
func (pr *Peer) ReportCrash(crash quarantine.Crash) {
	pr.mu.Lock()
	fresh := pr.board.AddCrash(pr.timers.Now(), crash)
	if fresh {
		pr.bookCrash(crash)
	}
	pr.mu.Unlock()
	if fresh {
		pr.push()
	}
}

// bookCrash enters a crash into the registry and publishes which contents to look up.
func (pr *Peer) bookCrash(crash quarantine.Crash) {
	pr.crashes.ReportCrash(pr.timers.Now(), crash)
	fresh := map[digest.Sum]bool{}
	for known := range *pr.standings.Load() {
		fresh[known] = true
	}
	fresh[crash.Fingerprint] = true
	pr.standings.Store(&fresh)
}

// Status returns what is known of a content; contents that never crashed anything take no lock.
func (pr *Peer) Status(fingerprint digest.Sum) quarantine.Status {
	if !(*pr.standings.Load())[fingerprint] {
		return quarantine.Clear
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.crashes.Status(pr.timers.Now(), fingerprint)
}

// ReportSuccess notes that a suspect content ran alone and was answered.
func (pr *Peer) ReportSuccess(fingerprint digest.Sum) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.crashes.ReportSuccess(pr.timers.Now(), fingerprint)
}

// TriggerHeartbeat makes the partners hear at once, as after a new revision of the document.
func (pr *Peer) TriggerHeartbeat() {
	pr.push()
}

func (pr *Peer) push() {
	select {
	case pr.urgent <- struct{}{}:
	default:
	}
}

// Leave tells the partners that this instance is gone on purpose.
func (pr *Peer) Leave(ctx context.Context) {
	pr.mu.Lock()
	pr.members.Leave()
	pr.mu.Unlock()
	pr.beat(ctx)
	pr.inFlight.Wait()
}
