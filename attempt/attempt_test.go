package attempt_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// mustBreach fails the test unless step breaks an invariant.
func mustBreach(t *testing.T, step func()) {
	t.Helper()
	defer func() {
		_, isBreach := recover().(invariant.Violation)
		must.True(t, isBreach)
	}()
	step()
}

func TestAccept(t *testing.T) {
	t.Run("accepts the first result of two open attempts", func(t *testing.T) {
		tr := attempt.New("r1", true)
		first, second := tr.Begin("encode"), tr.Begin("encode")
		must.Eq(t, attempt.Accepted, tr.Accept(second))
		must.Eq(t, attempt.AttemptClosed, tr.Accept(first))
	})
	t.Run("rejects results of another request, stage or attempt", func(t *testing.T) {
		tr := attempt.New("r1", true)
		id := tr.Begin("encode")
		for want, wrong := range map[attempt.Rejection]attempt.Identity{
			attempt.OtherRequest:   {RequestID: "r2", Stage: "encode", Attempt: id.Attempt},
			attempt.OtherStage:     {RequestID: "r1", Stage: "rerank", Attempt: id.Attempt},
			attempt.AttemptUnknown: {RequestID: "r1", Stage: "encode", Attempt: 9},
		} {
			must.Eq(t, want, tr.Accept(wrong))
		}
		must.Eq(t, attempt.Accepted, tr.Accept(id))
	})
	t.Run("rejects the result of an attempt that has ended", func(t *testing.T) {
		tr := attempt.New("r1", true)
		id := tr.Begin("encode")
		tr.End(id)
		must.Eq(t, attempt.AttemptClosed, tr.Accept(id))
	})
}

func TestDispatchOnce(t *testing.T) {
	t.Run("a second dispatch of a non-idempotent request breaks an invariant", func(t *testing.T) {
		tr := attempt.New("r1", false)
		tr.Begin("order")
		mustBreach(t, func() { tr.Begin("order") })
	})
	t.Run("a second dispatch is allowed if the first was not sent", func(t *testing.T) {
		tr := attempt.New("r1", false)
		tr.MarkNotSent(tr.Begin("order"))
		must.False(t, tr.AnyDispatched())
		tr.Begin("order")
		must.True(t, tr.AnyDispatched())
	})
}

func TestBeginBeside(t *testing.T) {
	t.Run("opens a second attempt of a stage without a result", func(t *testing.T) {
		tr := attempt.New("r1", true)
		tr.Begin("encode")
		second, begun := tr.BeginBeside("encode")
		must.True(t, begun)
		must.Eq(t, attempt.Accepted, tr.Accept(second))
	})
	t.Run("opens and counts none once a result is accepted", func(t *testing.T) {
		tr := attempt.New("r1", true)
		first := tr.Begin("encode")
		must.Eq(t, attempt.Accepted, tr.Accept(first))
		_, begun := tr.BeginBeside("encode")
		must.False(t, begun)
		tr.MarkNotSent(first)
		must.False(t, tr.AnyDispatched())
	})
	t.Run("a first attempt of a stage with a result breaks an invariant", func(t *testing.T) {
		tr := attempt.New("r1", true)
		must.Eq(t, attempt.Accepted, tr.Accept(tr.Begin("encode")))
		mustBreach(t, func() { tr.Begin("encode") })
	})
}
