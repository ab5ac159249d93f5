package gateway_test

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
)

// Pauses returns the pauses of the upstreams.
func (fk *fakes) Pauses() map[roster.Incarnation]time.Time { return fk.pauses }

// Avoided returns the pauses of the upstreams.
func (fk *fakes) Avoided() map[roster.Incarnation]time.Time { return fk.pauses }

// Acquire issues a permit for each upstream, after the time in permitAfter at those that it names.
func (fk *fakes) Acquire(ctx context.Context, up *roster.Upstream, maxWait time.Duration) (func(notice.Notice), error) {
	fk.mu.Lock()
	fk.asked = append(fk.asked, up.ID)
	wait := fk.permitAfter[up.ID]
	fk.mu.Unlock()
	if wait > maxWait {
		return nil, ratelimit.Exceeded{RetryAfter: wait}
	}
	if wait > 0 && fk.whileWaiting != nil {
		fk.whileWaiting()
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return func(notice.Notice) {}, nil
}

// Limits returns a limit of two requests a second for each upstream in permitAfter.
func (fk *fakes) Limits() map[roster.Incarnation]float64 {
	limits := map[roster.Incarnation]float64{}
	for id := range fk.permitAfter {
		limits[roster.Incarnation{ID: id}] = 2
	}
	return limits
}

// Cold returns a cold time of coldFor from the first call on for each upstream in permitAfter.
func (fk *fakes) Cold() map[roster.Incarnation]time.Time {
	cold := map[roster.Incarnation]time.Time{}
	if fk.coldFor == 0 {
		return cold
	}
	if fk.coldUntil.IsZero() {
		fk.coldUntil = time.Now().Add(fk.coldFor)
	}
	for id := range fk.permitAfter {
		cold[roster.Incarnation{ID: id}] = fk.coldUntil
	}
	return cold
}

// begunElsewhere is an attempt that began a stream at a model engine without a version.
const begunElsewhere = "begun-elsewhere"

// Begin records where a stream begins.
func (fk *fakes) Begin(attemptID, _ string, _ int, up *roster.Upstream) origin.Origin {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	began := origin.Origin{Pool: up.Pool, Version: up.SoftwareVersion, IsUnknown: fk.ended[up.Incarnation()]}
	fk.origins[attemptID] = began
	return began
}

// AwaitCorrection records the call, with how many streams had begun.
func (fk *fakes) AwaitCorrection(_ context.Context, attemptID string) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.corrected = append(fk.corrected, attemptID+" "+fk.origins[attemptID].Version)
}

func (fk *fakes) Continue(attemptID, _ string, known origin.Origin) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.continued = append(fk.continued, attemptID+" "+known.Version)
}

// Find returns the recorded origin of a stream, or notFound.
func (fk *fakes) Find(_ context.Context, attemptID, _ string) streamdirectory.Result {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if known, found := fk.origins[attemptID]; found {
		return streamdirectory.Found{Origin: known, Source: streamdirectory.OwnRecord}
	}
	return fk.notFound
}

// IsRecent reports whether an upstream has the version, or had it.
func (fk *fakes) IsRecent(_ string, one origin.Origin) bool {
	return one.Version != "v9"
}

func (fk *fakes) IsEnded(incarnation roster.Incarnation) bool {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return fk.ended[incarnation]
}

func (fk *fakes) ReportEnded(incarnation roster.Incarnation) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.ended == nil {
		fk.ended = map[roster.Incarnation]bool{}
	}
	fk.ended[incarnation] = true
}
