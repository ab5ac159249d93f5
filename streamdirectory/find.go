package streamdirectory

import (
	"context"

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
	stream := origin.StreamOf(attemptID)
	own := dr.reply(stream, pipeline, attemptID != "")
	if own.GetOrigin() != nil {
		return found(own, OwnRecord)
	}
	replies, silent := dr.askPeers(ctx, &wire.FindOriginRequest{Stream: uint64(stream), Pipeline: pipeline}, attemptID != "")
	for _, reply := range replies {
		if reply.GetOrigin() != nil {
			return found(reply, PeerRecord)
		}
	}
	// An instance that does not answer may know of a version only if this one may have missed it.
	if only, is := onlyOrigin(append(replies, own)); is && (silent == 0 || own.GetComplete()) {
		return Found{Origin: only, Source: OnlyVersion}
	}
	return NotFound{MayBeFound: silent > 0}
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

// askPeers asks the instances that may keep a record, until one has it. It returns the replies and how many did not answer.
func (dr *Directory) askPeers(ctx context.Context, request *wire.FindOriginRequest, hasID bool) ([]*wire.FindOriginReply, int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := dr.others(origin.Stream(request.GetStream()), askedCount)
	answers := make(chan *wire.FindOriginReply, len(asked))
	for _, keeper := range asked {
		go func() {
			reply, err := dr.Fleet.FindOriginAt(ctx, keeper, request)
			if err != nil {
				reply = nil
			}
			answers <- reply
		}()
	}
	replies, silent := []*wire.FindOriginReply{}, 0
	for range asked {
		reply := <-answers
		switch {
		case reply == nil:
			silent++
		case reply.GetOrigin() != nil && hasID:
			return []*wire.FindOriginReply{reply}, silent
		default:
			reply.Origin = nil
			replies = append(replies, reply)
		}
	}
	return replies, silent
}

// onlyOrigin returns the one origin that streams can have by all replies, or false if there are several or no reply is complete.
func onlyOrigin(replies []*wire.FindOriginReply) (origin.Origin, bool) {
	origins, isComplete := map[origin.Origin]bool{}, false
	for _, reply := range replies {
		isComplete = isComplete || reply.GetComplete()
		for _, one := range reply.GetRecent() {
			origins[fromWire(one).Origin] = true
		}
	}
	for only := range origins {
		return only, isComplete && len(origins) == 1
	}
	return origin.Origin{}, false
}
