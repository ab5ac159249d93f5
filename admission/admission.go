package admission

import (
	"time"

	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
)

// Decision is the result of admission control; Admit and Refuse are its variants.
type Decision interface {
	decision()
}

// Admit admits the request.
type Admit struct {
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Brownout is set if the request must run without the work that the document declares optional, either to meet
	// the deadline or because a skippable stage has no usable upstream.
	Brownout bool
}

func (Admit) decision() {}

// Refuse refuses the request before any of it has run. RetryAfter estimates the time after which a retry may
// succeed.
type Refuse struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

func (Refuse) decision() {}

// Stage is the expected cost of one stage of the request's pipeline.
type Stage struct {
	Estimate dispatch.Estimate
	// Droppable is the part of the service time that the document allows to be left out in a brownout.
	Droppable time.Duration
	// Skippable is set if the document allows the whole stage to be left out.
	Skippable bool
}

// NewStage returns the stage with its estimate and with the work that config allows to be left out.
func NewStage(config *document.Stage, estimate dispatch.Estimate) Stage {
	stage := Stage{Estimate: estimate}
	switch config.Brownout {
	case document.BrownoutSkip:
		stage.Droppable, stage.Skippable = estimate.Service, true
	case document.BrownoutFewer, document.BrownoutShorter:
		stage.Droppable = estimate.Service / 2
	case document.BrownoutNone:
	}
	return stage
}

const (
	// minRetryAfter is the lower bound of RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	// waitMarginDivisor adds an eighth to the expected wait, because requests that arrive later may be served
	// first. Admitting too much is costly: an admitted request that expires has wasted its first stages.
	waitMarginDivisor = 8
	// noUpstreamRetryAfter is the RetryAfter if a stage has no usable upstream.
	noUpstreamRetryAfter = 2 * time.Second
)

// Decide admits a request if the service times of all stages plus the longest wait at any stage fit into timeLeft.
// Waits are not added up, because in a chain of queues the bottleneck stage limits the arrivals at the others.
func Decide(timeLeft time.Duration, stages []Stage) Decision {
	work, droppable, longestWait := time.Duration(0), time.Duration(0), time.Duration(0)
	skipped := false
	for _, stage := range stages {
		switch {
		case stage.Estimate.Usable:
		case stage.Skippable:
			skipped = true
			continue
		default:
			return Refuse{Reason: dispatch.NoUpstream, RetryAfter: noUpstreamRetryAfter}
		}
		work += stage.Estimate.Service
		droppable += stage.Droppable
		longestWait = max(longestWait, stage.Estimate.Wait)
	}
	expected := work + longestWait + longestWait/waitMarginDivisor
	switch {
	case expected <= timeLeft:
		return Admit{Expected: expected, Brownout: skipped}
	case expected-droppable <= timeLeft:
		return Admit{Expected: expected - droppable, Brownout: true}
	case work-droppable > timeLeft:
		return Refuse{Reason: dispatch.DeadlineCannotBeMet, RetryAfter: minRetryAfter}
	default:
		return Refuse{Reason: dispatch.Overloaded, RetryAfter: max(expected-droppable-timeLeft, minRetryAfter)}
	}
}
