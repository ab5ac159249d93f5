package admission

import (
	"time"

	"github.com/turmericdoor/turmericdoor/dispatch"
	"github.com/turmericdoor/turmericdoor/document"
)

// Verdict is what becomes of a request at the door; Admit and Refuse are its variants.
type Verdict interface {
	verdict()
}

// Admit lets the request in; Expected is the time its answer is expected to take, and Brownout says that it
// can only be met by leaving out what the document allows to be left out.
type Admit struct {
	Expected time.Duration
	Brownout bool
}

func (Admit) verdict() {}

// Refuse turns the request away before anything has run.
type Refuse struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

func (Refuse) verdict() {}

// Stage is what the request would meet at one stage; Droppable is the part of its service time that the
// document allows to be left out, and Skippable says that this is all of it.
type Stage struct {
	Estimate  dispatch.Estimate
	Droppable time.Duration
	Skippable bool
}

// StageOf adds to an estimate what the document allows to be left out of the stage.
func StageOf(config *document.Stage, estimate dispatch.Estimate) Stage {
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
	// minRetryAfter is the least wait that a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	// waitMargin is the part of the wait by which it may turn out longer, since others' work is yet to come: an
	// admitted request that is dropped later has cost its first stages for nothing.
	waitMargin = 8
	// noUpstreamRetry is when to come back if a stage has no upstream.
	noUpstreamRetry = 2 * time.Second
)

// Decide compares the time left with the work of all stages and the wait at the narrowest one: in a chain
// of queues the narrowest holds back the others, so that their waits do not add up.
func Decide(left time.Duration, stages []Stage) Verdict {
	work, droppable, narrowest := time.Duration(0), time.Duration(0), time.Duration(0)
	missing := false
	for _, stage := range stages {
		switch {
		case stage.Estimate.Usable:
		case stage.Skippable:
			missing = true
			continue
		default:
			return Refuse{Reason: dispatch.NoUpstream, RetryAfter: noUpstreamRetry}
		}
		work += stage.Estimate.Service
		droppable += stage.Droppable
		narrowest = max(narrowest, stage.Estimate.Wait)
	}
	expected := work + narrowest + narrowest/waitMargin
	switch {
	case expected <= left:
		return Admit{Expected: expected, Brownout: missing}
	case expected-droppable <= left:
		return Admit{Expected: expected - droppable, Brownout: true}
	case work-droppable > left:
		return Refuse{Reason: dispatch.TooLate, RetryAfter: minRetryAfter}
	default:
		return Refuse{Reason: dispatch.Overloaded, RetryAfter: max(expected-droppable-left, minRetryAfter)}
	}
}
