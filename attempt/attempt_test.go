package attempt_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// breaks runs step and fails unless it breaks an invariant.
func breaks(t *testing.T, step func()) {
	t.Helper()
	defer func() {
		_, isBreach := recover().(invariant.Violation)
		must.True(t, isBreach)
	}()
	step()
}

func TestAccept(t *testing.T) {
	t.Run("the first of two open attempts", func(t *testing.T) {
		lg := attempt.New("r1", true)
		first, second := lg.Begin("encode"), lg.Begin("encode")
		must.Eq(t, attempt.Accepted, lg.Accept(second))
		must.Eq(t, attempt.AttemptClosed, lg.Accept(first))
	})
	t.Run("nothing of another request, stage or attempt", func(t *testing.T) {
		lg := attempt.New("r1", true)
		id := lg.Begin("encode")
		for want, wrong := range map[attempt.Rejection]attempt.Identity{
			attempt.OtherRequest:   {RequestID: "r2", Stage: "encode", Attempt: id.Attempt},
			attempt.OtherStage:     {RequestID: "r1", Stage: "rerank", Attempt: id.Attempt},
			attempt.AttemptUnknown: {RequestID: "r1", Stage: "encode", Attempt: 9},
		} {
			must.Eq(t, want, lg.Accept(wrong))
		}
		must.Eq(t, attempt.Accepted, lg.Accept(id))
	})
	t.Run("an ended attempt's result comes too late", func(t *testing.T) {
		lg := attempt.New("r1", true)
		id := lg.Begin("encode")
		lg.End(id)
		must.Eq(t, attempt.AttemptClosed, lg.Accept(id))
	})
}

func TestDispatchOnce(t *testing.T) {
	t.Run("a second dispatch of a non-idempotent request stops the process", func(t *testing.T) {
		lg := attempt.New("r1", false)
		lg.Begin("order")
		breaks(t, func() { lg.Begin("order") })
	})
	t.Run("unless the first was never sent", func(t *testing.T) {
		lg := attempt.New("r1", false)
		lg.MarkNotSent(lg.Begin("order"))
		must.False(t, lg.AnyDispatched())
		lg.Begin("order")
		must.True(t, lg.AnyDispatched())
	})
}
