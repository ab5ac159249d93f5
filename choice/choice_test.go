package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/choice"
	"github.com/turmericdoor/turmericdoor/limit"
)

var start = time.Unix(1000, 0)

// withChooser makes a pool of count upstreams in domain a that are warm.
func withChooser(count int) *choice.Picker {
	ch := choice.New(rand.New(rand.NewPCG(1, 2)), 10*time.Millisecond)
	for at := range count {
		ch.Add(start, &choice.Candidate{
			Name: fmt.Sprintf("u%d", at), FailureDomain: "a", Slots: 8,
			Limit: limit.New(limit.Divided{}, 8, 1),
		}, true)
	}
	return ch
}

func pick(t *testing.T, ch *choice.Picker, now time.Time, wish choice.Criteria) string {
	t.Helper()
	wish.FailureDomain = "a"
	cd := ch.Pick(now, &wish)
	must.NotNil(t, cd)
	return cd.Name
}

func TestPick(t *testing.T) {
	t.Run("the least loaded", func(t *testing.T) {
		ch := withChooser(3)
		ch.Candidates()[0].InFlight = 2
		ch.Candidates()[2].InFlight = 1
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{}))
	})
	t.Run("a reported load counts and is forgotten", func(t *testing.T) {
		ch := withChooser(2)
		ch.Candidates()[0].RecordLoad(start, 6)
		ch.Candidates()[1].InFlight = 1
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{}))
		must.Eq(t, "u0", pick(t, ch, start.Add(2*time.Second), choice.Criteria{}))
	})
	t.Run("never one that is leaving, full, avoided or without the adapter", func(t *testing.T) {
		ch := withChooser(4)
		ch.Candidates()[0].Leaving = true
		ch.Candidates()[1].InFlight = 8
		ch.Candidates()[3].Adapters = []string{"tin"}
		must.Eq(t, "u3", pick(t, ch, start, choice.Criteria{Avoid: []string{"u2"}}))
		must.Eq(t, "u3", pick(t, ch, start, choice.Criteria{Adapter: "tin"}))
		must.Nil(t, ch.Pick(start, &choice.Criteria{Avoid: []string{"u2", "u3"}}))
	})
	t.Run("the own failure domain until its wait exceeds the distance", func(t *testing.T) {
		ch := withChooser(2)
		ch.Candidates()[0].FailureDomain = "b"
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{}))
		ch.Candidates()[1].InFlight = 6
		must.Eq(t, "u0", pick(t, ch, start, choice.Criteria{}))
	})
	t.Run("a cached prefix is worth a short wait and no long one", func(t *testing.T) {
		ch := withChooser(2)
		ch.Candidates()[0].RecordPrefix(start, 77)
		ch.Candidates()[0].InFlight = 1
		must.Eq(t, "u0", pick(t, ch, start, choice.Criteria{PrefixHash: 77}))
		ch.Candidates()[0].InFlight = 5
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{PrefixHash: 77}))
	})
	t.Run("alone only on an idle upstream", func(t *testing.T) {
		ch := withChooser(2)
		ch.Candidates()[0].InFlight = 1
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{RequireIdle: true}))
	})
	t.Run("a slow upstream is tried again later", func(t *testing.T) {
		ch := withChooser(2)
		ch.Candidates()[0].RecordSuccess(start, time.Second)
		ch.Candidates()[1].InFlight = 4
		must.Eq(t, "u1", pick(t, ch, start, choice.Criteria{}))
		must.Eq(t, "u0", pick(t, ch, start.Add(6*time.Second), choice.Criteria{}))
	})
}

func TestEject(t *testing.T) {
	ch := withChooser(4)
	for _, cd := range ch.Candidates() {
		for range 5 {
			ch.RecordFailure(start, cd)
		}
	}
	out := 0
	for _, cd := range ch.Candidates() {
		if cd.IsEjected(start) {
			out++
		}
	}
	must.Eq(t, 2, out)
	must.False(t, ch.Candidates()[0].IsEjected(start.Add(2*time.Second)))
}

func TestTrial(t *testing.T) {
	ch := withChooser(1)
	cd := ch.Candidates()[0]
	ch.RecordUnreachable(start, cd)
	must.Nil(t, ch.Pick(start, &choice.Criteria{FailureDomain: "a"}))
	later := start.Add(3 * time.Second)
	must.Eq(t, 1, ch.Capacity(later))
	must.Eq(t, "u0", pick(t, ch, later, choice.Criteria{}))
	cd.InFlight++
	must.Eq(t, 0, ch.Capacity(later))
	must.Nil(t, ch.Pick(later, &choice.Criteria{FailureDomain: "a"}))
	cd.InFlight--
	ch.RecordSuccess(later, cd, time.Millisecond)
	must.Eq(t, 8, ch.Capacity(later))
}

func TestProbeFirst(t *testing.T) {
	ch := choice.New(rand.New(rand.NewPCG(1, 2)), 10*time.Millisecond)
	ch.RequireProbe()
	cd := &choice.Candidate{Name: "u0", FailureDomain: "a", Slots: 8, Limit: limit.New(limit.Divided{}, 8, 1)}
	ch.Add(start, cd, true)
	ch.RecordUnreachable(start, cd)
	must.SliceEmpty(t, ch.ProbeTargets(start))
	later := start.Add(3 * time.Second)
	must.Eq(t, 0, ch.Capacity(later))
	must.Eq(t, []*choice.Candidate{cd}, ch.ProbeTargets(later))
	ch.RecordProbe(later, cd, false)
	must.SliceEmpty(t, ch.ProbeTargets(later))
	again := later.Add(3 * time.Second)
	ch.RecordProbe(again, cd, true)
	must.Eq(t, 1, ch.Capacity(again))
	must.Eq(t, "u0", pick(t, ch, again, choice.Criteria{}))
}

func TestTrialAfterOthers(t *testing.T) {
	ch := withChooser(2)
	ch.RecordUnreachable(start, ch.Candidates()[0])
	later := start.Add(3 * time.Second)
	for range 100 {
		must.Eq(t, "u1", pick(t, ch, later, choice.Criteria{}))
	}
	ch.Candidates()[1].InFlight = 8
	must.Eq(t, "u0", pick(t, ch, later, choice.Criteria{}))
}

// BenchmarkPick compares the chooser with picking at random, at three sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 150, 600} {
		ch := withChooser(size)
		wish := &choice.Criteria{FailureDomain: "a", PrefixHash: 77}
		b.Run(fmt.Sprintf("chooser/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ch.Pick(start, wish)
			}
		})
		random := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprintf("random/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = ch.Candidates()[random.IntN(size)]
			}
		})
	}
}
