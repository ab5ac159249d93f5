package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/ownership"
	"github.com/turmericdoor/turmericdoor/reach"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Link is a connection to the relay service of another instance.
type Link interface {
	wire.RelaysClient
	Close() error
}

// Parts holds the dependencies of a Relay.
type Parts struct {
	Self string
	// Dial connects to an upstream without the help of others.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Live returns the live instances, this one included.
	Live func() []member.Member
	// Open opens a link to the address of an instance.
	Open func(address string) (Link, error)
	// IsUpstream reports whether an upstream is registered with an address.
	IsUpstream func(address string) bool
	// IsEvacuated reports whether the upstreams with an address are in evacuated failure domains.
	IsEvacuated func(address string) bool
	Timers      *timer.Service
	Random      *entropy.Source
	Events      *timeline.Ring
}

// Relay connects to upstreams, through other instances where this one is cut off, and for them. It is safe for concurrent use.
type Relay struct {
	wire.UnimplementedRelaysServer
	Parts

	mu      sync.Mutex
	tracker *reach.Tracker
	links   map[string]Link
	// avoided holds until when instances that could not help are not asked.
	avoided map[string]time.Time
	// addresses are upstreams to which a connection was wanted while cut off.
	addresses []string
	// cutOff wakes Run.
	cutOff chan struct{}
	// served are the connections for other instances; isStopping is set once there may be no more.
	served     inflight.Group
	isStopping atomic.Bool
	relayed    atomic.Int64
}

const (
	// maxHelpers is the number of instances through which this one connects.
	maxHelpers = 16
	// connectTimeout is how long another instance has to connect.
	connectTimeout = 700 * time.Millisecond
	// helpTimeout is how long other instances are asked for one connection.
	helpTimeout = time.Second
	// avoidTime is how long an instance that could not help is not asked.
	avoidTime = time.Second
	// probeInterval is how often an instance that is cut off tries to connect itself; probeCount is the number of upstreams it tries.
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// New returns a relay; Run must be called.
func New(parts Parts) *Relay {
	return &Relay{
		Parts: parts, tracker: reach.New(), links: map[string]Link{}, avoided: map[string]time.Time{}, cutOff: make(chan struct{}, 1),
	}
}

// errNoHelper reports that no other instance could tell whether an upstream can be reached.
var errNoHelper = errors.New("no other instance can connect to the upstream")

// DialUpstream connects to an upstream, through another instance if this one can't. An error is a net.OpError of the operation dial.
func (rl *Relay) DialUpstream(ctx context.Context, address string) (net.Conn, error) {
	if rl.prefersOthers(address) {
		connection, err := rl.dialByOther(ctx, address)
		if err == nil || !errors.Is(err, errNoHelper) {
			return connection, err
		}
	}
	connection, err := rl.Dial(ctx, address)
	if err == nil {
		rl.record(func(now time.Time) { rl.tracker.Connected(now, address) })
		return connection, nil
	}
	if ctx.Err() != nil || !rl.mayBeOwnFault(err) {
		return nil, err
	}
	connection, otherErr := rl.dialByOther(ctx, address)
	switch {
	case otherErr == nil:
		rl.record(func(now time.Time) { rl.tracker.ReachedByOther(now, address) })
		return connection, nil
	case errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(otherErr, errNoHelper):
		// A refusal that only this instance has seen may come from its own link.
		return nil, otherErr
	}
	return nil, err
}

// mayBeOwnFault reports whether a connection can have failed for the links of this instance. A host that refuses costs no time to ask
// about, and is taken for an upstream that has ended.
func (rl *Relay) mayBeOwnFault(err error) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return errors.Is(err, syscall.ECONNREFUSED) || !rl.tracker.HasConnected(rl.Timers.Now())
}

// IsCutOff reports whether this instance reaches no upstream itself.
func (rl *Relay) IsCutOff() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.IsCutOff()
}

// Relayed returns the number of connections made through other instances.
func (rl *Relay) Relayed() int64 {
	return rl.relayed.Load()
}

func (rl *Relay) prefersOthers(address string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.tracker.PrefersOthers(rl.Timers.Now(), address)
}

// record applies evidence to the tracker and logs the beginning and the end of a cut.
func (rl *Relay) record(apply func(now time.Time)) {
	rl.mu.Lock()
	before := rl.tracker.IsCutOff()
	apply(rl.Timers.Now())
	after := rl.tracker.IsCutOff()
	rl.mu.Unlock()
	switch {
	case after && !before:
		rl.Events.Record(&wire.Event{Kind: wire.EventKind_EventCutOff, Detail: "other instances reach upstreams that this one does not"})
		select {
		case rl.cutOff <- struct{}{}:
		default:
		}
	case before && !after:
		rl.Events.Record(&wire.Event{Kind: wire.EventKind_EventReconnected})
	}
}

// dialByOther connects to an upstream through another instance.
func (rl *Relay) dialByOther(ctx context.Context, address string) (net.Conn, error) {
	rl.remember(address)
	ctx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	for _, helper := range rl.helpers() {
		connection, state := rl.connectAt(ctx, helper, address)
		switch state {
		case wire.RelayState_RelayConnected:
			rl.relayed.Add(1)
			return connection, nil
		case wire.RelayState_RelayRefused:
			return nil, dialError(syscall.ECONNREFUSED)
		case wire.RelayState_RelayUnreachable:
			return nil, dialError(syscall.ETIMEDOUT)
		}
		if ctx.Err() != nil {
			return nil, dialError(ctx.Err())
		}
		rl.mu.Lock()
		rl.avoided[helper.ID] = rl.Timers.Now().Add(avoidTime)
		rl.mu.Unlock()
	}
	return nil, dialError(errNoHelper)
}

// dialError returns the error of a connection over which nothing was sent.
func dialError(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// remember keeps the last upstreams to which a connection was wanted, for Run to try.
func (rl *Relay) remember(address string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if slices.Contains(rl.addresses, address) {
		return
	}
	rl.addresses = append(rl.addresses, address)
	rl.addresses = rl.addresses[max(len(rl.addresses)-probeCount, 0):]
}

// helpers returns the instances to ask, in random order.
func (rl *Relay) helpers() []member.Member {
	others := slices.DeleteFunc(slices.Clone(rl.Live()), func(each member.Member) bool { return each.ID == rl.Self })
	list := ownership.Spread(others, rl.Self, maxHelpers)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.Timers.Now()
	list = slices.DeleteFunc(list, func(each member.Member) bool { return now.Before(rl.avoided[each.ID]) })
	for at := range list {
		swap := at + rl.Random.IntN(len(list)-at)
		list[at], list[swap] = list[swap], list[at]
	}
	return list
}

// link returns the link to an instance.
func (rl *Relay) link(address string) (Link, error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if known := rl.links[address]; known != nil {
		return known, nil
	}
	fresh, err := rl.Open(address)
	if err != nil {
		return nil, fmt.Errorf("open a link to the instance at %q: %w", address, err)
	}
	rl.links[address] = fresh
	return fresh, nil
}

// Run tries to connect to upstreams while the instance is cut off, until ctx ends; done is closed at the end.
func (rl *Relay) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer rl.closeLinks()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rl.cutOff:
		}
		for rl.IsCutOff() && rl.Timers.Sleep(ctx, probeInterval) == nil {
			rl.probe(ctx)
		}
	}
}

// probe connects to the remembered upstreams.
func (rl *Relay) probe(ctx context.Context) {
	rl.mu.Lock()
	addresses := slices.Clone(rl.addresses)
	rl.mu.Unlock()
	for _, address := range addresses {
		connection, err := rl.Dial(ctx, address)
		if err != nil {
			rl.record(func(time.Time) { rl.tracker.Failed() })
			continue
		}
		_ = connection.Close()
		rl.record(func(now time.Time) { rl.tracker.Connected(now, address) })
	}
}

func (rl *Relay) closeLinks() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, each := range rl.links {
		_ = each.Close()
	}
}
