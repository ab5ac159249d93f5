package experiment

import (
	"slices"
	"time"
)

// The outcomes of a request.
const (
	whole   = "whole"
	refused = "refused"
	dropped = "dropped"
	failed  = "failed"
	late    = "late"
	cut     = "cut"
)

// tally counts requests of one kind.
type tally struct {
	offered float64
	whole   float64
}

func (tl *tally) share() float64 {
	if tl == nil || tl.offered == 0 {
		return 1
	}
	return tl.whole / tl.offered
}

// Result is what came of a run.
type Result struct {
	byRank    map[string]*tally
	small     *tally
	ordinary  map[string]*tally
	outcomes  map[string]int
	busy      map[string]float64
	perSecond []float64
	retries   int
	latencies []time.Duration
	seconds   float64
	capacity  float64
}

func newResult() *Result {
	return &Result{byRank: map[string]*tally{}, small: &tally{}, ordinary: map[string]*tally{}, outcomes: map[string]int{}, busy: map[string]float64{}}
}

func count(of map[string]*tally, name string) *tally {
	if of[name] == nil {
		of[name] = &tally{}
	}
	return of[name]
}

func (rs *Result) offered(rq *request) {
	count(rs.byRank, rq.rank.Name).offered++
	if rq.flood {
		return
	}
	count(rs.ordinary, rq.rank.Name).offered++
	if rq.rank.Index == 0 && rs.isSmall(rq) {
		rs.small.offered++
	}
}

// isSmall reports whether a request is of none of the organisations that flood or carry most of the load.
func (rs *Result) isSmall(rq *request) bool {
	names := sortedNames(rq.door.world.document.Organisations)
	return rq.organisation.Name == names[len(names)-1] || rq.organisation.Name == names[len(names)-2]
}

func (rs *Result) ended(rq *request, outcome string, now time.Duration) {
	rs.outcomes[outcome]++
	if outcome != whole {
		return
	}
	count(rs.byRank, rq.rank.Name).whole++
	second := int(now / time.Second)
	for len(rs.perSecond) <= second {
		rs.perSecond = append(rs.perSecond, 0)
	}
	rs.perSecond[second]++
	if rq.flood {
		return
	}
	count(rs.ordinary, rq.rank.Name).whole++
	if rq.rank.Index == 0 && rs.isSmall(rq) {
		rs.small.whole++
	}
}

// Urgent is the part of the ordinary requests of the first rank that were answered in time.
func (rs *Result) Urgent(rank string) float64 { return rs.ordinary[rank].share() }

// All is the part of the ordinary requests of a rank, floods included, that were answered in time.
func (rs *Result) All(rank string) float64 { return rs.byRank[rank].share() }

// Small is the part of the small organisations' urgent requests that were answered in time.
func (rs *Result) Small() float64 { return rs.small.share() }

// Useful is the answers given in time in the run's own length, as a part of what the capacity allows.
func (rs *Result) Useful() float64 {
	total := 0.0
	for second, answers := range rs.perSecond {
		if float64(second) < rs.seconds {
			total += answers
		}
	}
	return total / (rs.capacity * rs.seconds)
}

// Broken is the part of the admitted requests that were not answered.
func (rs *Result) Broken() float64 {
	admitted := rs.outcomes[whole] + rs.outcomes[dropped] + rs.outcomes[failed] + rs.outcomes[late] + rs.outcomes[cut]
	return float64(admitted-rs.outcomes[whole]) / float64(max(admitted, 1))
}

// Cost is the busy seconds of all stages for each answer.
func (rs *Result) Cost() float64 {
	total := 0.0
	for _, pool := range sortedNames(rs.busy) {
		total += rs.busy[pool]
	}
	if rs.outcomes[whole] == 0 {
		return 0
	}
	return total / float64(rs.outcomes[whole])
}

// Latency is the time within which a part of the answers was given.
func (rs *Result) Latency(part float64) time.Duration {
	if len(rs.latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(rs.latencies)
	slices.Sort(sorted)
	return sorted[int(part*float64(len(sorted)-1))]
}

// PerSecond is the answers given in each second of the run.
func (rs *Result) PerSecond() []float64 { return rs.perSecond }
