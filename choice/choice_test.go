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

// newPicker returns a picker of count warm upstreams in failure domain a.
func newPicker(count int) *choice.Picker {
	pk := choice.New(rand.New(rand.NewPCG(1, 2)), 10*time.Millisecond)
	for at := range count {
		pk.Add(start, &choice.Candidate{
			Name: fmt.Sprintf("u%d", at), FailureDomain: "a", Slots: 8,
			Limit: limit.New(limit.Divided{}, 8, 1),
		}, true)
	}
	return pk
}

func pick(t *testing.T, pk *choice.Picker, now time.Time, criteria choice.Criteria) string {
	t.Helper()
	criteria.FailureDomain = "a"
	cd := pk.Pick(now, &criteria)
	must.NotNil(t, cd)
	return cd.Name
}

func TestPick(t *testing.T) {
	t.Run("picks the least loaded upstream", func(t *testing.T) {
		pk := newPicker(3)
		pk.Candidates()[0].InFlight = 2
		pk.Candidates()[2].InFlight = 1
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{}))
	})
	t.Run("uses a reported load until it expires", func(t *testing.T) {
		pk := newPicker(2)
		pk.Candidates()[0].RecordLoad(start, 6)
		pk.Candidates()[1].InFlight = 1
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{}))
		must.Eq(t, "u0", pick(t, pk, start.Add(2*time.Second), choice.Criteria{}))
	})
	t.Run("never picks an upstream that is leaving, full, avoided or without the adapter", func(t *testing.T) {
		pk := newPicker(4)
		pk.Candidates()[0].Leaving = true
		pk.Candidates()[1].InFlight = 8
		pk.Candidates()[3].Adapters = []string{"tin"}
		must.Eq(t, "u3", pick(t, pk, start, choice.Criteria{Avoid: []string{"u2"}}))
		must.Eq(t, "u3", pick(t, pk, start, choice.Criteria{Adapter: "tin"}))
		must.Nil(t, pk.Pick(start, &choice.Criteria{Avoid: []string{"u2", "u3"}}))
	})
	t.Run("prefers its own failure domain until the load there outweighs the cross-domain cost", func(t *testing.T) {
		pk := newPicker(2)
		pk.Candidates()[0].FailureDomain = "b"
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{}))
		pk.Candidates()[1].InFlight = 6
		must.Eq(t, "u0", pick(t, pk, start, choice.Criteria{}))
	})
	t.Run("a cached prefix outweighs a small load difference but not a large one", func(t *testing.T) {
		pk := newPicker(2)
		pk.Candidates()[0].RecordPrefix(start, 77)
		pk.Candidates()[0].InFlight = 1
		must.Eq(t, "u0", pick(t, pk, start, choice.Criteria{PrefixHash: 77}))
		pk.Candidates()[0].InFlight = 5
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{PrefixHash: 77}))
	})
	t.Run("picks only an idle upstream if one is required", func(t *testing.T) {
		pk := newPicker(2)
		pk.Candidates()[0].InFlight = 1
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{RequireIdle: true}))
	})
	t.Run("picks a slow upstream again after its measurement expires", func(t *testing.T) {
		pk := newPicker(2)
		pk.Candidates()[0].RecordSuccess(start, time.Second)
		pk.Candidates()[1].InFlight = 4
		must.Eq(t, "u1", pick(t, pk, start, choice.Criteria{}))
		must.Eq(t, "u0", pick(t, pk, start.Add(6*time.Second), choice.Criteria{}))
	})
}

// TestEject checks that at most half of a pool is ejected because of failures, and that an ejection ends.
func TestEject(t *testing.T) {
	pk := newPicker(4)
	for _, cd := range pk.Candidates() {
		for range 5 {
			pk.RecordFailure(start, cd)
		}
	}
	ejected := 0
	for _, cd := range pk.Candidates() {
		if cd.IsEjected(start) {
			ejected++
		}
	}
	must.Eq(t, 2, ejected)
	must.False(t, pk.Candidates()[0].IsEjected(start.Add(2*time.Second)))
}

// TestHalfOpen checks that an upstream takes one call at a time after an ejection, until an answer arrives.
func TestHalfOpen(t *testing.T) {
	pk := newPicker(1)
	cd := pk.Candidates()[0]
	pk.RecordUnreachable(start, cd)
	must.Nil(t, pk.Pick(start, &choice.Criteria{FailureDomain: "a"}))
	later := start.Add(3 * time.Second)
	must.Eq(t, 1, pk.Capacity(later))
	must.Eq(t, "u0", pick(t, pk, later, choice.Criteria{}))
	cd.InFlight++
	must.Eq(t, 0, pk.Capacity(later))
	must.Nil(t, pk.Pick(later, &choice.Criteria{FailureDomain: "a"}))
	cd.InFlight--
	pk.RecordSuccess(later, cd, time.Millisecond)
	must.Eq(t, 8, pk.Capacity(later))
}

// TestRequireProbe checks that an upstream takes no call after an ejection until a probe has reached it.
func TestRequireProbe(t *testing.T) {
	pk := choice.New(rand.New(rand.NewPCG(1, 2)), 10*time.Millisecond)
	pk.RequireProbe()
	cd := &choice.Candidate{Name: "u0", FailureDomain: "a", Slots: 8, Limit: limit.New(limit.Divided{}, 8, 1)}
	pk.Add(start, cd, true)
	pk.RecordUnreachable(start, cd)
	must.SliceEmpty(t, pk.ProbeTargets(start))
	later := start.Add(3 * time.Second)
	must.Eq(t, 0, pk.Capacity(later))
	must.Eq(t, []*choice.Candidate{cd}, pk.ProbeTargets(later))
	pk.RecordProbe(later, cd, false)
	must.SliceEmpty(t, pk.ProbeTargets(later))
	again := later.Add(3 * time.Second)
	pk.RecordProbe(again, cd, true)
	must.Eq(t, 1, pk.Capacity(again))
	must.Eq(t, "u0", pick(t, pk, again, choice.Criteria{}))
}

// TestHalfOpenAfterOthers checks that a half-open upstream is picked only once the other one is full.
func TestHalfOpenAfterOthers(t *testing.T) {
	pk := newPicker(2)
	pk.RecordUnreachable(start, pk.Candidates()[0])
	later := start.Add(3 * time.Second)
	for range 100 {
		must.Eq(t, "u1", pick(t, pk, later, choice.Criteria{}))
	}
	pk.Candidates()[1].InFlight = 8
	must.Eq(t, "u0", pick(t, pk, later, choice.Criteria{}))
}

// BenchmarkPick compares Pick with a uniformly random pick at three pool sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 150, 600} {
		pk := newPicker(size)
		criteria := &choice.Criteria{FailureDomain: "a", PrefixHash: 77}
		b.Run(fmt.Sprintf("picker/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				pk.Pick(start, criteria)
			}
		})
		random := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprintf("random/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = pk.Candidates()[random.IntN(size)]
			}
		})
	}
}
