package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
)

// StreamDirectory tells where a stream began: it goes on only at the pool and the software version that began it.
type StreamDirectory interface {
	// Begin records that a request is sent to an upstream, where its stream begins if no later send does it.
	Begin(attemptID, pipeline string, send int, upstream *roster.Upstream) origin.Origin
	// AwaitCorrection waits until the other instances know the origin of the last send if it is another one than those before.
	AwaitCorrection(ctx context.Context, attemptID string)
	// Continue records the origin of a stream that its caller has taken up at this instance.
	Continue(attemptID, pipeline string, known origin.Origin)
	// Find returns the origin of the stream whose first event an attempt of the caller brought.
	Find(ctx context.Context, attemptID, pipeline string) streamdirectory.Result
	// IsRecent reports whether streams of a pipeline can have an origin, as far as this instance knows.
	IsRecent(pipeline string, one origin.Origin) bool
	// IsEnded reports whether an incarnation of an upstream has ended although it is registered, and ReportEnded that it has.
	IsEnded(incarnation roster.Incarnation) bool
	ReportEnded(incarnation roster.Incarnation)
}

// unknownVersionRetryAfter is the delay after which a caller is asked to take its stream up again if an instance that may know
// where it began does not answer.
const unknownVersionRetryAfter = 500 * time.Millisecond

// isResumable reports whether other upstreams may continue the request's stream.
func (rn *run) isResumable() bool {
	return rn.pipeline.Streaming && rn.pipeline.RetryPolicy == route.Resumable
}

// findOrigin finds where the stream began that the request continues, and binds the request to it. It returns nil or the
// refusal of a request whose stream can't go on.
func (rn *run) findOrigin(ctx context.Context) Outcome {
	if !rn.isResumable() || !rn.request.continuesStream() {
		return nil
	}
	switch result := rn.Streams.Find(ctx, rn.request.Resumes, rn.pipeline.Name).(type) {
	case streamdirectory.Found:
		rn.Events.Record(&wire.Event{
			Kind: wire.EventKind_EventOriginFound, RequestId: rn.request.ID, Pipeline: rn.pipeline.Name, Stage: result.Origin.Pool, Outcome: string(result.Source),
			Detail: fmt.Sprintf("resumes=%s version=%s unknown=%t", clip(rn.request.Resumes), result.Origin.Version, result.Origin.IsUnknown),
		})
		return rn.bind(result.Origin)
	case streamdirectory.NotFound:
		after := time.Duration(0)
		if result.MayBeFound {
			after = unknownVersionRetryAfter
		}
		return rn.refuse(after, VersionUnknown, "resumes="+clip(rn.request.Resumes))
	}
	return nil
}

// bind binds the request to the origin of its stream, or refuses it if no upstream is left there.
func (rn *run) bind(known origin.Origin) Outcome {
	if known.IsUnknown {
		return rn.refuse(0, VersionUnknown, "the upstream that began the stream may have been restarted with another version")
	}
	rn.origin = &known
	isRouted := slices.ContainsFunc(rn.pipeline.Pools, func(part route.WeightedPool) bool { return part.Pool == known.Pool })
	pool, found := rn.table.Pools[known.Pool]
	switch {
	case !isRouted || !found:
		return rn.refuse(0, VersionGone, fmt.Sprintf("the pipeline has left pool %s", known.Pool))
	case rn.isEvacuated():
		return rn.refuseEvacuated(known.Pool)
	case !rn.hasOriginLeft():
		return rn.refuse(rn.originRetryAfter(), VersionGone, rn.originDetail())
	}
	rn.pool = pool
	return nil
}

// originRetryAfter returns the delay after which the caller is asked to take its stream up again where no upstream can continue
// it: only if this instance may not know of those upstreams yet.
func (rn *run) originRetryAfter() time.Duration {
	if rn.Streams.IsRecent(rn.pipeline.Name, *rn.origin) {
		return 0
	}
	return unknownVersionRetryAfter
}

// hasOriginLeft reports whether an upstream can continue the stream of a bound request.
func (rn *run) hasOriginLeft() bool {
	return slices.ContainsFunc(rn.Catalog.Upstreams(rn.origin.Pool, ""), rn.canContinue)
}

func (rn *run) originDetail() string {
	return fmt.Sprintf("no upstream of version %s in pool %s is left", rn.origin.Version, rn.origin.Pool)
}

// restrict restricts the choice of an upstream to those that can continue the stream of a bound request.
func (rn *run) restrict(criteria placement.Criteria) placement.Criteria {
	if rn.origin == nil {
		return criteria
	}
	criteria.OnlyVersion, criteria.SoftwareVersion = true, rn.origin.Version
	for _, up := range rn.Catalog.Upstreams(rn.pool.Name, "") {
		if rn.Streams.IsEnded(up.Incarnation()) {
			criteria.Exclude = append(slices.Clone(criteria.Exclude), up.Incarnation())
		}
	}
	return criteria
}

// recordOrigin records where the stream begins if the attempt brings its first event.
func (at *attempt) recordOrigin() {
	rn := at.run
	switch {
	case !rn.isResumable():
	case rn.origin == nil:
		rn.sends++
		at.origin = rn.Streams.Begin(rn.request.ID, rn.pipeline.Name, rn.sends, at.choice.Upstream)
	case rn.request.continuesStream():
		rn.Streams.Continue(rn.request.Resumes, rn.pipeline.Name, *rn.origin)
	}
}

// bindToOrigin binds the rest of the request to the upstreams of the kind that has brought the first event.
func (at *attempt) bindToOrigin() {
	rn := at.run
	if !rn.isResumable() || rn.origin != nil {
		return
	}
	if rn.sends > 1 {
		rn.Streams.AwaitCorrection(at.ctx, rn.request.ID)
	}
	rn.origin = &at.origin
}

// mayContinue reports whether the stream of the request may go on at another upstream.
func (rn *run) mayContinue() bool {
	return rn.origin == nil || !rn.origin.IsUnknown && rn.hasOriginLeft()
}

// isAnotherIncarnation reports whether another incarnation than the registered one answers at the attempt's upstream, whose
// version may be another one. The answer to the attempt must have begun, so that its process is the one that reports. An upstream is also
// asked if its failure domain has been evacuated since the attempt began: the question belongs to the work that still runs there.
func (at *attempt) isAnotherIncarnation() bool {
	rn, up := at.run, at.choice.Upstream
	if rn.origin == nil || !rn.hasRestarted(at.ctx, up) {
		return false
	}
	rn.Streams.ReportEnded(up.Incarnation())
	return true
}

// hasRestarted reports whether another incarnation answers at the upstream's address, or false if its rate limit does not
// allow to ask.
func (rn *run) hasRestarted(ctx context.Context, up *roster.Upstream) bool {
	answered, err := rn.Limits.Acquire(ctx, up, 0)
	return err == nil && rn.Sender.HasRestarted(notice.WithObserver(ctx, answered), up)
}
