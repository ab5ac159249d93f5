package peer

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
)

const (
	// maxMembersPerMessage bounds the member states that ride on one heartbeat.
	maxMembersPerMessage = 16
	// pushGap is the least time between two pushes, which lets a burst of news share one.
	pushGap = 20 * time.Millisecond
	// fullGap is the least time between two full exchanges that this instance asks for.
	fullGap = 10 * time.Second
	// lostGap is how many heartbeats pass between two tries of a member that is gone.
	lostGap = 5
)

// Run sends heartbeats and news until ctx ends; done is closed at the end.
func (pr *Peer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer pr.closeLinks(0)
	beats := 0
	pr.beatSeeds(ctx)
	for {
		select {
		case <-ctx.Done():
			pr.inFlight.Wait()
			return
		case <-pr.urgent:
			pr.beat(ctx)
			_ = pr.timers.Sleep(ctx, pushGap)
		case <-pr.timers.After(pr.nextBeat()):
			pr.tick()
			pr.beat(ctx)
			if beats++; beats%lostGap == 0 {
				pr.beatLost(ctx)
			}
		}
	}
}

// nextBeat spreads heartbeats by a tenth, so that instances started together drift apart.
func (pr *Peer) nextBeat() time.Duration {
	return pr.config.Heartbeat - pr.chance.DurationUpTo(pr.config.Heartbeat/10)
}

func (pr *Peer) tick() {
	now := pr.timers.Now()
	pr.mu.Lock()
	changes := pr.members.Tick(now)
	pr.board.Expire(now)
	pr.crashes.Expire(now)
	pr.mu.Unlock()
	pr.closeLinks(linkLife)
	pr.changed(changes)
}

// beat sends a heartbeat to every partner, or to the seeds as long as there is none.
func (pr *Peer) beat(ctx context.Context) {
	pr.mu.Lock()
	partners := pr.members.Partners(pr.timers.Now())
	pr.mu.Unlock()
	if len(partners) == 0 {
		pr.beatSeeds(ctx)
		return
	}
	for _, partner := range partners {
		pr.send(ctx, partner.Address, partner.ID, false)
	}
}

func (pr *Peer) beatSeeds(ctx context.Context) {
	for _, seed := range pr.config.Seeds {
		if seed != pr.selfAddress {
			pr.send(ctx, seed, "", true)
		}
	}
}

// SendHeartbeat sends a heartbeat to an address that may be an instance's; full exchanges all that is known.
// Without it, unequal digests lead to a full exchange where one is needed.
func (pr *Peer) SendHeartbeat(ctx context.Context, address string, full bool) {
	pr.send(context.WithoutCancel(ctx), address, "", full)
}

// beatLost tries a member that is gone, or a seed: a cut may have healed.
func (pr *Peer) beatLost(ctx context.Context) {
	pr.mu.Lock()
	lost, found := pr.members.RandomDead()
	pr.mu.Unlock()
	if found {
		pr.send(ctx, lost.Address, lost.ID, true)
		return
	}
	if len(pr.config.Seeds) > 0 {
		seed := pr.config.Seeds[pr.chance.IntN(len(pr.config.Seeds))]
		if seed != pr.selfAddress {
			pr.send(ctx, seed, "", false)
		}
	}
}

// send exchanges heartbeats with one address in the background.
func (pr *Peer) send(ctx context.Context, address, id string, full bool) {
	message := pr.message(id, full)
	pr.inFlight.Go(func() {
		limited, cancel := context.WithTimeout(ctx, pr.config.Heartbeat)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		reply, err := client.Exchange(limited, message)
		if err != nil {
			// The connection may be dead while new ones work.
			pr.dropLink(address)
			return
		}
		pr.take(ctx, reply)
	})
}

// message makes a heartbeat for a receiver, with what it should hear of itself.
func (pr *Peer) message(receiver string, full bool) *wire.Heartbeat {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	members := pr.members.TakeUpdates(maxMembersPerMessage)
	leaving, crashes := pr.board.TakeUpdates()
	if full {
		members, leaving, crashes = pr.members.All(), pr.board.LeavingUpstreams(), pr.board.Crashes()
	}
	if state, worth := pr.members.StateToRefute(receiver); worth {
		members = append(members, state)
	}
	self := toWireMember(pr.members.Self())
	self.Revision = pr.holder.Revision()
	heartbeat := &wire.Heartbeat{
		Stamp: pr.stamp(), Sender: self, Members: toWireMembers(members), Leaving: toWireLeaving(leaving),
		Crashes: toWireCrashes(crashes), Digest: pr.members.Digest() ^ pr.board.Digest(), Full: full,
	}
	if pr.rows != nil {
		heartbeat.Versions = pr.rows.Versions()
	}
	return heartbeat
}

// Exchange answers another instance's heartbeat.
func (pr *Peer) Exchange(ctx context.Context, heartbeat *wire.Heartbeat) (*wire.Heartbeat, error) {
	// What follows from a message goes on after its call has been answered.
	pr.take(context.WithoutCancel(ctx), heartbeat)
	return pr.message(heartbeat.GetSender().GetId(), heartbeat.GetFull()), nil
}

// take enters what a message tells.
func (pr *Peer) take(ctx context.Context, heartbeat *wire.Heartbeat) {
	pr.observe(heartbeat.GetStamp())
	now := pr.timers.Now()
	sender := fromWireMember(heartbeat.GetSender())
	pr.mu.Lock()
	changes := pr.members.RecordHeartbeat(now, sender)
	changes = append(changes, pr.members.Merge(now, fromWireMembers(heartbeat.GetMembers()))...)
	leaving := pr.takeLeaving(heartbeat.GetLeaving())
	crashes := pr.takeCrashes(now, heartbeat.GetCrashes())
	wantFull := pr.wantFull(now, heartbeat)
	pr.mu.Unlock()
	pr.changed(changes)
	for _, item := range leaving {
		pr.announceLeaving(item)
	}
	if len(leaving) > 0 || crashes > 0 || len(changes) > 0 {
		pr.push()
	}
	if wantFull {
		pr.send(ctx, sender.Address, sender.ID, true)
	}
	if heartbeat.GetSender().GetRevision() > pr.holder.Revision() {
		pr.fetch(ctx, sender.Address)
	}
	if pr.rows != nil {
		pr.takeVersions(ctx, sender.Address, heartbeat.GetVersions())
	}
}

func (pr *Peer) takeLeaving(list []*wire.Leaving) []gossip.LeavingUpstream {
	fresh := []gossip.LeavingUpstream{}
	for _, item := range list {
		converted := gossip.LeavingUpstream{Upstream: item.GetUpstream(), Incarnation: item.GetIncarnation()}
		if pr.board.AddLeaving(converted) {
			fresh = append(fresh, converted)
		}
	}
	return fresh
}

func (pr *Peer) takeCrashes(now time.Time, list []*wire.Crash) int {
	fresh := 0
	for _, item := range list {
		crash := fromWireCrash(item)
		if pr.board.AddCrash(now, crash) {
			pr.bookCrash(crash)
			fresh++
		}
	}
	return fresh
}

// wantFull reports whether the sender knows something that its messages no longer carry.
func (pr *Peer) wantFull(now time.Time, heartbeat *wire.Heartbeat) bool {
	if heartbeat.GetFull() || now.Sub(pr.lastFull) < fullGap {
		return false
	}
	if heartbeat.GetDigest() == pr.members.Digest()^pr.board.Digest() {
		return false
	}
	pr.lastFull = now
	return true
}

// changed records membership changes and tells the listener.
func (pr *Peer) changed(changes []member.Change) {
	if len(changes) == 0 {
		return
	}
	names := []string{"Alive", "Suspect", "Dead", "Left"}
	for _, change := range changes {
		pr.events.Record(&wire.Event{
			Kind: wire.EventKind_EventMemberChanged, Detail: change.Member.ID, Outcome: names[change.Member.Liveness],
		})
	}
	pr.listener.MembersChanged(changes, len(pr.Live()))
}

// fetch asks a peer for its newer document, one fetch at a time.
func (pr *Peer) fetch(ctx context.Context, address string) {
	if !pr.fetching.CompareAndSwap(false, true) {
		return
	}
	pr.inFlight.Go(func() {
		defer pr.fetching.Store(false)
		limited, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		known := document.Text{}
		if current := pr.holder.Current(); current != nil {
			known = current.Text
		}
		reply, err := client.FetchDocument(limited, &wire.FetchDocumentRequest{
			Stamp: pr.stamp(), Above: known.Revision, Known: toWireKnown(known),
		})
		if err != nil || reply.GetDocument() == nil {
			return
		}
		pr.observe(reply.GetStamp())
		if fetched, whole := fromWireDocument(reply.GetDocument(), known); whole {
			pr.listener.DocumentFetched(fetched)
		}
	})
}

// fetchTimeout is how long a peer has to send its document.
const fetchTimeout = 2 * time.Second

// FetchDocument sends the document in force if it is newer than the one asked about.
func (pr *Peer) FetchDocument(_ context.Context, request *wire.FetchDocumentRequest) (*wire.FetchDocumentReply, error) {
	pr.observe(request.GetStamp())
	reply := &wire.FetchDocumentReply{Stamp: pr.stamp()}
	if current := pr.holder.Current(); current != nil && current.Revision > request.GetAbove() {
		reply.Document = leaveOut(toWireDocument(current.Text), request.GetKnown())
	}
	return reply, nil
}

// FetchEvents sends this instance's part of the time line.
func (pr *Peer) FetchEvents(_ context.Context, request *wire.FetchEventsRequest) (*wire.FetchEventsReply, error) {
	pr.observe(request.GetStamp())
	return &wire.FetchEventsReply{
		Stamp: pr.stamp(), Events: pr.events.Select(request), Overwritten: pr.events.Overwritten(),
	}, nil
}

// CollectedEvents is the time line of all instances that answered.
type CollectedEvents struct {
	Events      []*wire.Event
	Overwritten map[string]uint64
	Unreachable []string
}

// CollectEvents asks every live member for its part of the time line.
func (pr *Peer) CollectEvents(ctx context.Context, request *wire.FetchEventsRequest) CollectedEvents {
	gathered := CollectedEvents{Overwritten: map[string]uint64{}}
	for _, mb := range pr.Live() {
		reply, err := pr.eventsOf(ctx, mb, request, mb.ID == pr.selfID)
		if err != nil {
			gathered.Unreachable = append(gathered.Unreachable, mb.ID)
			continue
		}
		gathered.Events = append(gathered.Events, reply.GetEvents()...)
		gathered.Overwritten[mb.ID] = reply.GetOverwritten()
	}
	timeline.Sort(gathered.Events)
	return gathered
}

func (pr *Peer) eventsOf(ctx context.Context, mb member.Member, request *wire.FetchEventsRequest, own bool) (*wire.FetchEventsReply, error) {
	if own {
		return pr.FetchEvents(ctx, request)
	}
	client, err := pr.client(mb.Address)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return client.FetchEvents(limited, request)
}

// Revisions asks every live member for the revision it has in force; members that don't answer have -1.
func (pr *Peer) Revisions(ctx context.Context) map[string]int64 {
	revisions := map[string]int64{}
	for _, mb := range pr.Live() {
		if mb.ID == pr.selfID {
			revisions[mb.ID] = pr.holder.Revision()
			continue
		}
		revisions[mb.ID] = pr.revisionOf(ctx, mb)
	}
	return revisions
}

func (pr *Peer) revisionOf(ctx context.Context, mb member.Member) int64 {
	client, err := pr.client(mb.Address)
	if err != nil {
		return -1
	}
	limited, cancel := context.WithTimeout(ctx, pr.config.Heartbeat)
	defer cancel()
	reply, err := client.Exchange(limited, pr.message(mb.ID, false))
	if err != nil {
		return -1
	}
	return reply.GetSender().GetRevision()
}

// Link is a kept connection to another instance.
type Link interface {
	wire.PeerClient
	Close() error
}

// keptLink is a link and when it was last used.
type keptLink struct {
	Link
	used time.Time
}

// linkLife is how long a link that no heartbeat uses is kept.
const linkLife = time.Minute

// client returns the kept link to an address.
func (pr *Peer) client(address string) (wire.PeerClient, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	kept, found := pr.links[address]
	if !found {
		fresh, err := pr.dialer(address)
		if err != nil {
			return nil, err
		}
		kept = &keptLink{Link: fresh}
		pr.links[address] = kept
	}
	kept.used = pr.timers.Now()
	return kept, nil
}

// dropLink closes the link to an address, so that the next call makes a new one.
func (pr *Peer) dropLink(address string) {
	pr.mu.Lock()
	kept := pr.links[address]
	delete(pr.links, address)
	pr.mu.Unlock()
	if kept != nil {
		_ = kept.Close()
	}
}

// closeLinks closes the links that were not used for longer than life.
func (pr *Peer) closeLinks(life time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for address, kept := range pr.links {
		if pr.timers.Now().Sub(kept.used) >= life {
			_ = kept.Close()
			delete(pr.links, address)
		}
	}
}
