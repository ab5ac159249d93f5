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
	// maxMembersPerMessage bounds the member states in one heartbeat.
	maxMembersPerMessage = 16
	// minPushInterval is the pause after a triggered heartbeat, so that a burst of changes shares the next one.
	minPushInterval = 20 * time.Millisecond
	// minFullInterval is the minimum time between two full exchanges that this instance requests.
	minFullInterval = 10 * time.Second
	// lostRetryBeats is the number of heartbeat intervals between two attempts to reach a dead member or a seed.
	lostRetryBeats = 5
)

// Run sends heartbeats until ctx ends and then closes done.
func (pr *Peer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer pr.closeLinks(0)
	ticks := 0
	pr.sendToSeeds(ctx)
	tickAt := pr.timers.Now().Add(pr.nextInterval())
	sendAt := tickAt
	for {
		select {
		case <-ctx.Done():
			pr.inFlight.Wait()
			return
		case <-pr.heartbeatDue:
			pr.sendToPartners(ctx)
			sendAt = pr.timers.Now().Add(pr.nextInterval())
			_ = pr.timers.Sleep(ctx, minPushInterval)
		case <-pr.timers.After(min(tickAt.Sub(pr.timers.Now()), sendAt.Sub(pr.timers.Now()))):
		}
		now := pr.timers.Now()
		if !now.Before(sendAt) {
			pr.sendToPartners(ctx)
			sendAt = now.Add(pr.nextInterval())
		}
		// Triggered heartbeats, however many, don't put off the checks of the members.
		if !now.Before(tickAt) {
			pr.tick()
			tickAt = now.Add(pr.nextInterval())
			if ticks++; ticks%lostRetryBeats == 0 {
				pr.sendToLost(ctx)
			}
		}
	}
}

// nextInterval returns the time until the next heartbeat, with a jitter of a tenth, so that instances that were started
// together don't send in step.
func (pr *Peer) nextInterval() time.Duration {
	return pr.config.Heartbeat - pr.random.DurationUpTo(pr.config.Heartbeat/10)
}

func (pr *Peer) tick() {
	now := pr.timers.Now()
	pr.mu.Lock()
	changes := pr.members.Tick(now)
	pr.gossip.Expire(now)
	pr.crashes.Expire(now)
	pr.parts.Expire(pr.Time())
	pr.publishParts()
	pr.mu.Unlock()
	pr.closeLinks(linkIdleTimeout)
	pr.notifyChanges(changes)
}

// sendToPartners sends a heartbeat to every partner, or to the seeds if there is none.
func (pr *Peer) sendToPartners(ctx context.Context) {
	pr.mu.Lock()
	partners := pr.members.Partners(pr.timers.Now())
	pr.mu.Unlock()
	if len(partners) == 0 {
		pr.sendToSeeds(ctx)
		return
	}
	for _, partner := range partners {
		pr.send(ctx, partner.Address, partner.ID, false)
	}
}

func (pr *Peer) sendToSeeds(ctx context.Context) {
	for _, seed := range pr.config.Seeds {
		if seed != pr.selfAddress {
			pr.send(ctx, seed, "", true)
		}
	}
}

// SendHeartbeat sends a heartbeat to an address at which an instance may run; full requests a full exchange. Without
// full, an exchange follows if the digests differ.
func (pr *Peer) SendHeartbeat(ctx context.Context, address string, full bool) {
	pr.send(context.WithoutCancel(ctx), address, "", full)
}

// sendToLost sends a heartbeat to a dead member, or else to a seed, to detect the end of a network partition.
func (pr *Peer) sendToLost(ctx context.Context) {
	pr.mu.Lock()
	lost, found := pr.members.RandomDead()
	pr.mu.Unlock()
	if found {
		pr.send(ctx, lost.Address, lost.ID, true)
		return
	}
	if len(pr.config.Seeds) > 0 {
		seed := pr.config.Seeds[pr.random.IntN(len(pr.config.Seeds))]
		if seed != pr.selfAddress {
			pr.send(ctx, seed, "", false)
		}
	}
}

// send exchanges heartbeats with an address in the background.
func (pr *Peer) send(ctx context.Context, address, id string, full bool) {
	message := pr.newHeartbeat(id, full)
	pr.inFlight.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, pr.config.Heartbeat)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		reply, err := client.Exchange(callCtx, message)
		if err != nil {
			// The kept connection may be dead although a new one would work.
			pr.dropLink(address)
			return
		}
		pr.process(ctx, reply)
	})
}

// newHeartbeat returns a heartbeat for a receiver. It includes the receiver's own state if that is to be refuted.
func (pr *Peer) newHeartbeat(receiver string, full bool) *wire.Heartbeat {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	members := pr.members.TakeUpdates(maxMembersPerMessage)
	leaving, crashes := pr.gossip.TakeUpdates()
	if full {
		members, leaving, crashes = pr.members.All(), pr.gossip.LeavingUpstreams(), pr.gossip.Crashes()
	}
	if state, refutable := pr.members.StateToRefute(receiver); refutable {
		members = append(members, state)
	}
	self := toWireMember(pr.members.Self())
	self.Revision = pr.revisions.Revision()
	heartbeat := &wire.Heartbeat{
		Stamp: pr.stamp(), Sender: self, Members: toWireMembers(members), Leaving: toWireLeaving(leaving),
		Crashes: toWireCrashes(crashes), Digest: pr.members.Digest() ^ pr.gossip.Digest(), Full: full,
	}
	pr.setPartNews(heartbeat)
	if pr.replicas != nil {
		heartbeat.Versions, heartbeat.ReadTurn = pr.replicas.Versions(), pr.replicas.ReadTurn()
	}
	if pr.limits != nil {
		heartbeat.Notices = pr.limits.News(full)
	}
	if pr.origins != nil {
		heartbeat.EndedUpstreams = pr.origins.EndedNews(full)
	}
	return heartbeat
}

// Exchange processes another instance's heartbeat and returns one.
func (pr *Peer) Exchange(ctx context.Context, heartbeat *wire.Heartbeat) (*wire.Heartbeat, error) {
	// The calls that a heartbeat causes continue after its own call has ended.
	pr.process(context.WithoutCancel(ctx), heartbeat)
	return pr.newHeartbeat(heartbeat.GetSender().GetId(), heartbeat.GetFull()), nil
}

// process applies a received heartbeat and starts the exchanges and fetches that it requires.
func (pr *Peer) process(ctx context.Context, heartbeat *wire.Heartbeat) {
	pr.observe(heartbeat.GetStamp())
	now := pr.timers.Now()
	sender := fromWireMember(heartbeat.GetSender())
	pr.mu.Lock()
	changes := pr.members.RecordHeartbeat(now, sender)
	changes = append(changes, pr.members.Merge(now, fromWireMembers(heartbeat.GetMembers()))...)
	leaving := pr.addLeaving(heartbeat.GetLeaving())
	crashes := pr.addCrashes(now, heartbeat.GetCrashes())
	blocks, urgent := pr.addPartNews(heartbeat)
	requestFull := pr.needsFullExchange(now, heartbeat)
	pr.mu.Unlock()
	pr.notifyChanges(changes)
	for _, item := range leaving {
		pr.notifyLeaving(item)
	}
	pr.notifyBlocks(blocks)
	if len(leaving) > 0 || crashes > 0 || len(changes) > 0 || urgent {
		pr.requestHeartbeat()
	}
	if requestFull {
		pr.send(ctx, sender.Address, sender.ID, true)
	}
	if heartbeat.GetSender().GetRevision() > pr.revisions.Revision() {
		pr.fetchDocument(ctx, sender.Address)
	}
	if pr.limits != nil {
		pr.limits.AddNews(heartbeat.GetNotices())
	}
	if pr.origins != nil {
		pr.origins.AddEndedNews(heartbeat.GetEndedUpstreams())
	}
	if pr.replicas != nil {
		pr.fetchMissingRows(ctx, sender.Address, heartbeat.GetVersions())
		if turn := heartbeat.GetReadTurn(); turn != nil {
			pr.replicas.ObserveReadTurn(turn)
		}
	}
}

func (pr *Peer) addLeaving(list []*wire.Leaving) []gossip.LeavingUpstream {
	fresh := []gossip.LeavingUpstream{}
	for _, item := range list {
		converted := gossip.LeavingUpstream{Upstream: item.GetUpstream(), Incarnation: item.GetIncarnation()}
		if pr.gossip.AddLeaving(converted) {
			fresh = append(fresh, converted)
		}
	}
	return fresh
}

func (pr *Peer) addCrashes(now time.Time, list []*wire.Crash) int {
	fresh := 0
	for _, item := range list {
		crash := fromWireCrash(item)
		if pr.gossip.AddCrash(now, crash) {
			pr.registerCrash(crash)
			fresh++
		}
	}
	return fresh
}

// needsFullExchange reports whether the digests differ and a full exchange is due; it records the time if so.
func (pr *Peer) needsFullExchange(now time.Time, heartbeat *wire.Heartbeat) bool {
	if heartbeat.GetFull() || now.Sub(pr.lastFullExchange) < minFullInterval {
		return false
	}
	if heartbeat.GetDigest() == pr.members.Digest()^pr.gossip.Digest() {
		return false
	}
	pr.lastFullExchange = now
	return true
}

// notifyChanges records membership changes in the time line and passes them to the listener.
func (pr *Peer) notifyChanges(changes []member.Change) {
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

// fetchDocument fetches a newer document from an instance; only one fetch runs at a time.
func (pr *Peer) fetchDocument(ctx context.Context, address string) {
	if !pr.fetchingDocument.CompareAndSwap(false, true) {
		return
	}
	pr.inFlight.Go(func() {
		defer pr.fetchingDocument.Store(false)
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		client, err := pr.client(address)
		if err != nil {
			return
		}
		known := document.Text{}
		if current := pr.revisions.Current(); current != nil {
			known = current.Text
		}
		reply, err := client.FetchDocument(callCtx, &wire.FetchDocumentRequest{
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

// fetchTimeout bounds a call that fetches a document, rows or events.
const fetchTimeout = 2 * time.Second

// FetchDocument returns the current document if it is newer than the revision in the request.
func (pr *Peer) FetchDocument(_ context.Context, request *wire.FetchDocumentRequest) (*wire.FetchDocumentReply, error) {
	pr.observe(request.GetStamp())
	reply := &wire.FetchDocumentReply{Stamp: pr.stamp()}
	if current := pr.revisions.Current(); current != nil && current.Revision > request.GetAbove() {
		reply.Document = omitKnown(toWireDocument(current.Text), request.GetKnown())
	}
	return reply, nil
}

// FetchEvents returns the events of this instance that match the request.
func (pr *Peer) FetchEvents(_ context.Context, request *wire.FetchEventsRequest) (*wire.FetchEventsReply, error) {
	pr.observe(request.GetStamp())
	return &wire.FetchEventsReply{
		Stamp: pr.stamp(), Events: pr.events.Select(request), Overwritten: pr.events.Overwritten(),
	}, nil
}

// CollectedEvents holds the events of all live instances in the order of their stamps. Overwritten counts, by instance,
// the events that are no longer kept; Unreachable lists the instances whose call failed.
type CollectedEvents struct {
	Events      []*wire.Event
	Overwritten map[string]uint64
	Unreachable []string
}

// CollectEvents fetches the matching events of every live member.
func (pr *Peer) CollectEvents(ctx context.Context, request *wire.FetchEventsRequest) CollectedEvents {
	collected := CollectedEvents{Overwritten: map[string]uint64{}}
	for _, mb := range pr.Live() {
		reply, err := pr.memberEvents(ctx, mb, request, mb.ID == pr.selfID)
		if err != nil {
			collected.Unreachable = append(collected.Unreachable, mb.ID)
			continue
		}
		collected.Events = append(collected.Events, reply.GetEvents()...)
		collected.Overwritten[mb.ID] = reply.GetOverwritten()
	}
	timeline.Sort(collected.Events)
	return collected
}

func (pr *Peer) memberEvents(ctx context.Context, mb member.Member, request *wire.FetchEventsRequest, own bool) (*wire.FetchEventsReply, error) {
	if own {
		return pr.FetchEvents(ctx, request)
	}
	client, err := pr.client(mb.Address)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return client.FetchEvents(callCtx, request)
}

// Revisions returns the current document revision of every live member, or -1 for a member whose call failed.
func (pr *Peer) Revisions(ctx context.Context) map[string]int64 {
	revisions := map[string]int64{}
	for _, mb := range pr.Live() {
		if mb.ID == pr.selfID {
			revisions[mb.ID] = pr.revisions.Revision()
			continue
		}
		revisions[mb.ID] = pr.memberRevision(ctx, mb)
	}
	return revisions
}

func (pr *Peer) memberRevision(ctx context.Context, mb member.Member) int64 {
	client, err := pr.client(mb.Address)
	if err != nil {
		return -1
	}
	callCtx, cancel := context.WithTimeout(ctx, pr.config.Heartbeat)
	defer cancel()
	reply, err := client.Exchange(callCtx, pr.newHeartbeat(mb.ID, false))
	if err != nil {
		return -1
	}
	return reply.GetSender().GetRevision()
}

// Link is a connection to another instance.
type Link interface {
	wire.PeerClient
	Close() error
}

// keptLink is a link with the time of its last use.
type keptLink struct {
	Link
	lastUsed time.Time
}

// linkIdleTimeout is how long an unused link is kept open.
const linkIdleTimeout = time.Minute

// client returns the link to an address and dials it if there is none.
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
	kept.lastUsed = pr.timers.Now()
	return kept, nil
}

// dropLink closes the link to an address, so that the next call dials again.
func (pr *Peer) dropLink(address string) {
	pr.mu.Lock()
	dropped := pr.links[address]
	delete(pr.links, address)
	pr.mu.Unlock()
	if dropped != nil {
		_ = dropped.Close()
	}
}

// closeLinks closes the links that were unused for at least idle.
func (pr *Peer) closeLinks(idle time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for address, kept := range pr.links {
		if pr.timers.Now().Sub(kept.lastUsed) >= idle {
			_ = kept.Close()
			delete(pr.links, address)
		}
	}
}
