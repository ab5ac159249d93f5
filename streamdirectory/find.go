package streamdirectory

import (
	"context"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Result is the result of a search for the origin of a stream. It is sealed: its variants are Found and NotFound.
type Result interface {
	result()
}

// Found is the origin of a stream. Source says how it is known: from the own records, those of another instance, or since the
// pipeline had no other origin.
type Found struct {
	Origin origin.Origin
	Source Source
}

func (Found) result() {}

// NotFound says that the origin of a stream is not known; MayBeFound is set if an instance that may know it did not answer.
type NotFound struct {
	MayBeFound bool
}

func (NotFound) result() {}

// Source is how the origin of a stream is known.
type Source string

// The sources of an origin.
const (
	OwnRecord   Source = "OwnRecord"
	PeerRecord  Source = "PeerRecord"
	OnlyVersion Source = "OnlyVersion"
)

// Find returns the origin of the stream of a pipeline whose first event an attempt brought; an empty id is that of no attempt.
func (dr *Directory) Find(ctx context.Context, attemptID, pipeline string) Result {
	result := dr.search(ctx, attemptID, pipeline)
	if result != (NotFound{}) || attemptID == "" {
		return result
	}
	// The record of a stream that broke soon after it began may be on its way.
	if dr.Timers.Sleep(ctx, recordDelay) != nil {
		return result
	}
	return dr.search(ctx, attemptID, pipeline)
}

// recordDelay is how long the record of a stream usually takes to the instances that keep it.
const recordDelay = 2 * flushDelay

// search searches the own records and those of the instances that may keep the stream's.
func (dr *Directory) search(ctx context.Context, attemptID, pipeline string) Result {
	stream, hasID := origin.StreamOf(attemptID), attemptID != ""
	own := dr.reply(stream, pipeline, hasID)
	if isAuthoritative(own, dr.Self) {
		return found(own, OwnRecord)
	}
	replies, silent := dr.askPeers(ctx, &wire.FindOriginRequest{Stream: uint64(stream), Pipeline: pipeline}, own, hasID)
	if best := lastSend(append(replies, own)); best.GetOrigin() != nil {
		return found(best, sourceOf(best, own))
	}
	// An instance that does not answer may know of a version that this one does not know yet. It joined before the stream
	// began, so that a read of the registrations from now on shows it. The same goes if no registrations are fresh enough.
	if silent > 0 || len(replies) == 0 || !isAnyComplete(append(replies, own)) {
		if !dr.knowsHistory() {
			return NotFound{MayBeFound: silent > 0}
		}
		if dr.confirmations.Confirm(ctx) != nil {
			return NotFound{MayBeFound: true}
		}
		own = dr.reply(stream, pipeline, hasID)
		if !own.GetComplete() {
			return NotFound{MayBeFound: silent > 0}
		}
	}
	if only, is := onlyOrigin(append(replies, own)); is {
		return Found{Origin: only, Source: OnlyVersion}
	}
	return NotFound{MayBeFound: silent > 0}
}

// knowsHistory calls hasHistory with the lock held.
func (dr *Directory) knowsHistory() bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.hasHistory(dr.Timers.Now())
}

// confirm reads the configuration and the registrations from the store, and the origins that streams can have by them.
func (dr *Directory) confirm() error {
	ctx, cancel := context.WithTimeout(dr.lifetime, confirmTimeout)
	defer cancel()
	if err := dr.Confirm(ctx); err != nil {
		return err
	}
	dr.update()
	return nil
}

// confirmTimeout bounds a read of the configuration and the registrations.
const confirmTimeout = 400 * time.Millisecond

// isAuthoritative reports whether the record in an instance's reply can't have been overridden by a later send: the instance
// sends the attempt itself, or the stream has gone on there.
func isAuthoritative(reply *wire.FindOriginReply, from string) bool {
	known := reply.GetOrigin()
	return known != nil && (known.GetFinal() || known.GetBeginner() == from)
}

// lastSend returns the reply with the record of the last send, or nil if no reply has a record.
func lastSend(replies []*wire.FindOriginReply) *wire.FindOriginReply {
	best := (*wire.FindOriginReply)(nil)
	for _, reply := range replies {
		if reply.GetOrigin() != nil && (best == nil || fromWire(best.GetOrigin()).IsOverriddenBy(fromWire(reply.GetOrigin()))) {
			best = reply
		}
	}
	return best
}

func sourceOf(reply, own *wire.FindOriginReply) Source {
	if reply == own {
		return OwnRecord
	}
	return PeerRecord
}

func found(reply *wire.FindOriginReply, source Source) Result {
	return Found{Origin: fromWire(reply.GetOrigin()).Origin, Source: source}
}

// Reply answers another instance's search for the origin of a stream.
func (dr *Directory) Reply(request *wire.FindOriginRequest) *wire.FindOriginReply {
	return dr.reply(origin.Stream(request.GetStream()), request.GetPipeline(), true)
}

func (dr *Directory) reply(stream origin.Stream, pipeline string, hasID bool) *wire.FindOriginReply {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := dr.Timers.Now()
	reply := &wire.FindOriginReply{Complete: dr.isComplete(now)}
	if known, is := dr.table.Find(stream); is && hasID {
		reply.Origin = toWire(known)
	}
	for _, one := range dr.history.Recent(now, pipeline) {
		reply.Recent = append(reply.Recent, &wire.StreamOrigin{Pool: one.Pool, Version: one.Version})
	}
	return reply
}

// answer is another instance's answer to a search, or its silence.
type answer struct {
	from  string
	reply *wire.FindOriginReply
}

// askPeers asks the instances that may keep a record, and the one that sends the attempt once it is known, until that one has
// answered or all have. It returns the replies and how many did not answer.
func (dr *Directory) askPeers(
	ctx context.Context, request *wire.FindOriginRequest, own *wire.FindOriginReply, hasID bool,
) ([]*wire.FindOriginReply, int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers, asked := make(chan answer), map[string]bool{}
	ask := func(other member.Member) {
		if other.ID == dr.Self || asked[other.ID] {
			return
		}
		asked[other.ID] = true
		go func() {
			reply, err := dr.Fleet.FindOriginAt(ctx, other, request)
			if err != nil {
				reply = nil
			}
			select {
			case answers <- answer{from: other.ID, reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
	for _, keeper := range dr.others(origin.Stream(request.GetStream()), askedCount) {
		ask(keeper)
	}
	dr.askBeginner(own, ask)
	replies, answered := []*wire.FindOriginReply{}, 0
	for answered < len(asked) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case got := <-answers:
			answered++
			if got.reply == nil {
				continue
			}
			if !hasID {
				got.reply.Origin = nil
			}
			replies = append(replies, got.reply)
			if isAuthoritative(got.reply, got.from) {
				return replies, 0
			}
			dr.askBeginner(got.reply, ask)
		}
	}
	return replies, len(asked) - len(replies)
}

// askBeginner asks the instance that sends the attempt of a record.
func (dr *Directory) askBeginner(reply *wire.FindOriginReply, ask func(member.Member)) {
	beginner := reply.GetOrigin().GetBeginner()
	if beginner == "" {
		return
	}
	for _, other := range dr.Fleet.Live() {
		if other.ID == beginner {
			ask(other)
		}
	}
}

// isAnyComplete reports whether an instance knows all origins that streams can have.
func isAnyComplete(replies []*wire.FindOriginReply) bool {
	return slices.ContainsFunc(replies, func(reply *wire.FindOriginReply) bool { return reply.GetComplete() })
}

// onlyOrigin returns the one origin that streams can have by all replies, or false if there are several or no reply is complete.
func onlyOrigin(replies []*wire.FindOriginReply) (origin.Origin, bool) {
	origins := map[origin.Origin]bool{}
	for _, reply := range replies {
		for _, one := range reply.GetRecent() {
			origins[fromWire(one).Origin] = true
		}
	}
	for only := range origins {
		return only, isAnyComplete(replies) && len(origins) == 1
	}
	return origin.Origin{}, false
}
