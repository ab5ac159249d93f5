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
	"github.com/turmericdoor/turmericdoor/poison"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Listener receives changes that a peer learns of; its methods must not block.
type Listener interface {
	MembersChanged(changes []member.Change, live int)
	UpstreamLeaving(item gossip.LeavingUpstream)
	DocumentFetched(text document.Text)
	// PartsBlocked receives the parts of prompts that no longer reach upstreams.
	PartsBlocked(parts []poison.Part)
}

// Replicas are the replicas of the platform's tables, whose rows instances fetch from each other.
type Replicas interface {
	// Versions returns the version and the staleness of each replica.
	Versions() []*wire.TableVersion
	// ChangesSince returns the rows of a table that a replica lacks.
	ChangesSince(request *wire.FetchRowsRequest) *wire.FetchRowsReply
	// ObserveVersion records another instance's version of a table and reports whether to fetch rows from that instance.
	ObserveVersion(version *wire.TableVersion) bool
	// ReadTurn returns the turn of reading the platform's store that ended last, and ObserveReadTurn records one of another instance.
	ReadTurn() *wire.ReadTurn
	ObserveReadTurn(turn *wire.ReadTurn)
	// ApplyRows applies rows that another instance sent.
	ApplyRows(table string, reply *wire.FetchRowsReply)
}

// Peer is the gossip endpoint of this instance: it sends heartbeats and serves those of the other instances. It is safe
// for concurrent use.
type Peer struct {
	wire.UnimplementedPeerServer

	timers           *timer.Service
	clock            *hlc.Clock
	events           *timeline.Ring
	revisions        *revision.Holder
	listener         Listener
	replicas         Replicas
	limits           Limits
	origins          Origins
	config           Config
	selfID           string
	selfAddress      string
	dialer           Dialer
	random           *entropy.Source
	mu               sync.Mutex
	members          *member.View
	gossip           *gossip.State
	crashes          *quarantine.Registry
	crashedContents  atomic.Pointer[map[digest.Sum]bool]
	parts            *poison.Registry
	partStatuses     atomic.Pointer[map[poison.Part]poison.Status]
	links            map[string]*keptLink
	heartbeatDue     chan struct{}
	lastFullExchange time.Time
	fetchingDocument atomic.Bool
	inFlight         inflight.Group
}

// Config configures a peer; Seeds are addresses to contact while no other member is known.
type Config struct {
	Seeds     []string
	Heartbeat time.Duration
}

// Dialer connects to another instance.
type Dialer func(address string) (Link, error)

// Parts holds the dependencies of a peer; Replicas, Limits and Origins may be nil.
type Parts struct {
	Replicas Replicas
	Limits   Limits
	Origins  Origins
	Timers   *timer.Service
	Clock    *hlc.Clock
	Events   *timeline.Ring
	Holder   *revision.Holder
	Listener Listener
	Members  *member.View
	Dialer   Dialer
	Random   *entropy.Source
}

// New returns a peer that knows only its seeds; Run must be running.
func New(parts Parts, config Config) *Peer {
	pr := &Peer{
		timers: parts.Timers, clock: parts.Clock, events: parts.Events, revisions: parts.Holder,
		listener: parts.Listener, replicas: parts.Replicas, limits: parts.Limits, origins: parts.Origins, config: config, dialer: parts.Dialer, random: parts.Random, members: parts.Members,
		gossip: gossip.New(), crashes: quarantine.New(), parts: poison.New(), links: map[string]*keptLink{},
		heartbeatDue: make(chan struct{}, 1), selfID: parts.Members.Self().ID, selfAddress: parts.Members.Self().Address,
	}
	pr.crashedContents.Store(&map[digest.Sum]bool{})
	pr.partStatuses.Store(&map[poison.Part]poison.Status{})
	return pr
}

func (pr *Peer) stamp() *wire.Stamp {
	read := pr.clock.Now()
	return &wire.Stamp{WallMicros: read.WallMicros, Logical: read.Logical}
}

func (pr *Peer) observe(stamp *wire.Stamp) {
	pr.clock.Observe(hlc.Timestamp{WallMicros: stamp.GetWallMicros(), Logical: stamp.GetLogical()})
}

// Live returns the members that are neither dead nor left, including this instance.
func (pr *Peer) Live() []member.Member {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.members.Live()
}

// Members returns all members, including this instance and those that are dead or left but not yet forgotten.
func (pr *Peer) Members() []member.Member {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.members.All()
}

// Leaving returns the upstreams that are leaving.
func (pr *Peer) Leaving() []gossip.LeavingUpstream {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.gossip.LeavingUpstreams()
}

// ReportLeaving announces to all instances that an upstream is leaving; it returns false if that was known.
func (pr *Peer) ReportLeaving(item gossip.LeavingUpstream) bool {
	pr.mu.Lock()
	fresh := pr.gossip.AddLeaving(item)
	pr.mu.Unlock()
	if fresh {
		pr.notifyLeaving(item)
		pr.requestHeartbeat()
	}
	return fresh
}

func (pr *Peer) notifyLeaving(item gossip.LeavingUpstream) {
	pr.events.Record(&wire.Event{Kind: wire.EventKind_EventUpstreamLeaving, Upstream: item.Upstream, Revision: item.Incarnation})
	pr.listener.UpstreamLeaving(item)
}

// ReportCrash announces to all instances that a request content crashed an upstream.
func (pr *Peer) ReportCrash(crash quarantine.Crash) {
	pr.mu.Lock()
	fresh := pr.gossip.AddCrash(pr.timers.Now(), crash)
	if fresh {
		pr.registerCrash(crash)
	}
	pr.mu.Unlock()
	if fresh {
		pr.requestHeartbeat()
	}
}

// registerCrash adds a crash to the registry and its fingerprint to crashedContents.
func (pr *Peer) registerCrash(crash quarantine.Crash) {
	pr.crashes.ReportCrash(pr.timers.Now(), crash)
	fresh := map[digest.Sum]bool{}
	for known := range *pr.crashedContents.Load() {
		fresh[known] = true
	}
	fresh[crash.Fingerprint] = true
	pr.crashedContents.Store(&fresh)
}

// Status returns the quarantine status of a request content. The lookup of contents without a crash takes no lock.
func (pr *Peer) Status(fingerprint digest.Sum) quarantine.Status {
	if !(*pr.crashedContents.Load())[fingerprint] {
		return quarantine.Clear
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.crashes.Status(pr.timers.Now(), fingerprint)
}

// ReportSuccess records that a suspect content ran alone on an upstream and was answered.
func (pr *Peer) ReportSuccess(fingerprint digest.Sum) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.crashes.ReportSuccess(pr.timers.Now(), fingerprint)
}

// TriggerHeartbeat sends a heartbeat to the partners without waiting for the interval, as after a new revision.
func (pr *Peer) TriggerHeartbeat() {
	pr.requestHeartbeat()
}

func (pr *Peer) requestHeartbeat() {
	select {
	case pr.heartbeatDue <- struct{}{}:
	default:
	}
}

// Leave announces to the partners that this instance leaves, and waits for the calls.
func (pr *Peer) Leave(ctx context.Context) {
	pr.mu.Lock()
	pr.members.Leave()
	pr.mu.Unlock()
	pr.sendToPartners(ctx)
	pr.inFlight.Wait()
}
