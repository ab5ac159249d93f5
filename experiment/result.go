package experiment

import (
	"slices"
	"time"
)

// Outcomes of a request.
const (
	outcomeAnswered        = "whole"   // within the deadline
	outcomeRefused         = "refused" // by admission
	outcomeDropped         = "dropped" // refused by a dispatcher after admission
	outcomeFailed          = "failed"  // a call failed without a further retry
	outcomeDeadlinePassed  = "late"    // no answer before the deadline
	outcomeInstanceCrashed = "cut"     // the entry instance crashed
)

// tally counts the requests of one group that arrived (offered) and those answered within their deadline.
type tally struct {
	offered  float64
	answered float64
}

// answeredShare returns the fraction of requests that were answered within their deadline; it is 1 if there
// were none.
func (tl *tally) answeredShare() float64 {
	if tl == nil || tl.offered == 0 {
		return 1
	}
	return tl.answered / tl.offered
}

// Result holds the outcomes of a run. A request is answered in time if it is answered within its deadline; no
// other answers occur, since a request without an answer ends at its deadline.
type Result struct {
	// byRank counts all requests by rank.
	byRank map[string]*tally
	// small counts the requests of the first rank from the two small organisations, without those of floods.
	small *tally
	// ordinary counts the requests by rank, without those of floods.
	ordinary map[string]*tally
	// outcomes counts the requests by outcome.
	outcomes map[string]int
	// busySeconds is the time that the upstreams of each pool spent on calls.
	busySeconds map[string]float64
	// answersPerSecond counts the requests answered in time, by second of the run.
	answersPerSecond []float64
	retries          int
	// latencies are the times from arrival to answer.
	latencies []time.Duration
	// seconds is the duration of the scenario.
	seconds float64
	// capacity is the number of requests per second that the narrowest pool can serve.
	capacity float64
}

// newResult returns a result without requests; recordArrival and recordOutcome add them.
func newResult() *Result {
	return &Result{byRank: map[string]*tally{}, small: &tally{}, ordinary: map[string]*tally{}, outcomes: map[string]int{}, busySeconds: map[string]float64{}}
}

// tallyOf returns the tally with a name, and adds it if it does not exist.
func tallyOf(tallies map[string]*tally, name string) *tally {
	if tallies[name] == nil {
		tallies[name] = &tally{}
	}
	return tallies[name]
}

// recordArrival counts an offered request.
func (rs *Result) recordArrival(rq *request) {
	tallyOf(rs.byRank, rq.rank.Name).offered++
	if rq.isFlood {
		return
	}
	tallyOf(rs.ordinary, rq.rank.Name).offered++
	if rq.rank.Index == 0 && rs.isFromSmallOrganisation(rq) {
		rs.small.offered++
	}
}

// isFromSmallOrganisation reports whether a request comes from one of the last two organisations by name.
// The ordinary load and most floods of the scenarios come from other organisations.
func (rs *Result) isFromSmallOrganisation(rq *request) bool {
	names := sortedNames(rq.entry.sim.document.Organisations)
	return rq.organisation.Name == names[len(names)-1] || rq.organisation.Name == names[len(names)-2]
}

// recordOutcome counts the outcome of a request that ended at this time.
func (rs *Result) recordOutcome(rq *request, outcome string, now time.Duration) {
	rs.outcomes[outcome]++
	if outcome != outcomeAnswered {
		return
	}
	tallyOf(rs.byRank, rq.rank.Name).answered++
	second := int(now / time.Second)
	for len(rs.answersPerSecond) <= second {
		rs.answersPerSecond = append(rs.answersPerSecond, 0)
	}
	rs.answersPerSecond[second]++
	if rq.isFlood {
		return
	}
	tallyOf(rs.ordinary, rq.rank.Name).answered++
	if rq.rank.Index == 0 && rs.isFromSmallOrganisation(rq) {
		rs.small.answered++
	}
}

// AnsweredShare returns the fraction of the ordinary requests of a rank, those of floods left out, that were
// answered within their deadline.
func (rs *Result) AnsweredShare(rank string) float64 { return rs.ordinary[rank].answeredShare() }

// AnsweredShareWithFloods returns the fraction of all requests of a rank, floods included, that were
// answered within their deadline.
func (rs *Result) AnsweredShareWithFloods(rank string) float64 {
	return rs.byRank[rank].answeredShare()
}

// SmallOrganisationShare returns the fraction of the small organisations' ordinary requests of the first
// rank that were answered within their deadline.
func (rs *Result) SmallOrganisationShare() float64 { return rs.small.answeredShare() }

// GoodputShare returns the number of requests that were answered within their deadline during the scenario, as
// a fraction of the number that the narrowest pool can serve in that time.
func (rs *Result) GoodputShare() float64 {
	total := 0.0
	for second, answers := range rs.answersPerSecond {
		if float64(second) < rs.seconds {
			total += answers
		}
	}
	return total / (rs.capacity * rs.seconds)
}

// UnansweredShare returns the fraction of the admitted requests that were not answered within their deadline.
func (rs *Result) UnansweredShare() float64 {
	admitted := rs.outcomes[outcomeAnswered] + rs.outcomes[outcomeDropped] + rs.outcomes[outcomeFailed] + rs.outcomes[outcomeDeadlinePassed] + rs.outcomes[outcomeInstanceCrashed]
	return float64(admitted-rs.outcomes[outcomeAnswered]) / float64(max(admitted, 1))
}

// CostPerAnswer returns the busy time of all upstreams for each answer, in seconds; it is 0 if there was no
// answer.
func (rs *Result) CostPerAnswer() float64 {
	total := 0.0
	for _, pool := range sortedNames(rs.busySeconds) {
		total += rs.busySeconds[pool]
	}
	if rs.outcomes[outcomeAnswered] == 0 {
		return 0
	}
	return total / float64(rs.outcomes[outcomeAnswered])
}

// LatencyQuantile returns the quantile of the answers' latency for a part from 0 to 1; it is 0 if there was
// no answer.
func (rs *Result) LatencyQuantile(part float64) time.Duration {
	if len(rs.latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(rs.latencies)
	slices.Sort(sorted)
	return sorted[int(part*float64(len(sorted)-1))]
}

// AnswersPerSecond returns, for each second of the run, the number of requests answered within their deadline.
func (rs *Result) AnswersPerSecond() []float64 { return rs.answersPerSecond }
