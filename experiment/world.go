package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/priority"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/timer"
)

// event is something that happens at a time; order keeps events of one time in the order they were planned.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// newAgenda orders events by time.
func newAgenda() *priority.Queue[event] {
	return priority.New(
		func(left, right event) bool {
			if left.at != right.at {
				return left.at < right.at
			}
			return left.order < right.order
		},
		func(event, int) {},
	)
}

// world is one run: the document's upstreams, the entry instances, and what is planned.
type world struct {
	document  *document.Document
	pipeline  *document.Pipeline
	scenario  *Scenario
	policy    Policy
	random    *rand.Rand
	now       time.Duration
	agenda    *priority.Queue[event]
	planned   int
	upstreams map[string]*back
	doors     []*door
	requests  uint64
	capacity  float64
	instances int
	result    *Result
}

// origin is the wall time at which runs begin.
var origin = time.Unix(1_700_000_000, 0)

func (wd *world) clock() time.Time {
	return origin.Add(wd.now)
}

// at plans something; times that have passed are now.
func (wd *world) at(when time.Duration, run func()) {
	wd.planned++
	wd.agenda.Push(event{at: max(when, wd.now), order: wd.planned, run: run})
}

func (wd *world) after(length time.Duration, run func()) {
	wd.at(wd.now+length, run)
}

// Run makes one run of a scenario on a document's first pipeline of several stages.
func Run(parsed *document.Document, scenario *Scenario, policy Policy, instances int, seed uint64) *Result {
	wd := &world{
		document: parsed, pipeline: longest(parsed), scenario: scenario, policy: policy,
		random: rand.New(rand.NewPCG(seed, 7)), upstreams: map[string]*back{}, result: newResult(),
		instances: instances, agenda: newAgenda(),
	}
	for _, name := range sortedNames(parsed.Upstreams) {
		up := parsed.Upstreams[name]
		wd.upstreams[name] = newBack(wd, up)
	}
	wd.capacity = wd.narrowest()
	domains := failureDomains(parsed)
	for at := range instances {
		wd.doors = append(wd.doors, newDoor(wd, at, domains[at%len(domains)]))
	}
	wd.tellPeers()
	wd.planLoad()
	wd.planFaults()
	end := timer.Milliseconds(scenario.Config.GetDurationMs())
	for wd.agenda.Len() > 0 {
		next := wd.agenda.Pop()
		wd.now = next.at
		next.run()
		if wd.now > end+maxTail {
			break
		}
	}
	wd.result.seconds = end.Seconds()
	wd.result.capacity = wd.capacity
	return wd.result
}

// maxTail is how long a run goes on for what began in it.
const maxTail = 150 * time.Second

func sortedNames[T any](from map[string]T) []string {
	names := []string{}
	for name := range from {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func longest(parsed *document.Document) *document.Pipeline {
	best := (*document.Pipeline)(nil)
	for _, name := range sortedNames(parsed.Pipelines) {
		one := parsed.Pipelines[name]
		if best == nil || len(one.Stages) > len(best.Stages) {
			best = one
		}
	}
	return best
}

func failureDomains(parsed *document.Document) []string {
	domains := []string{}
	for _, name := range sortedNames(parsed.Upstreams) {
		if domain := parsed.Upstreams[name].FailureDomain; !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// narrowest returns the requests a second that the pipeline's narrowest pool can carry.
func (wd *world) narrowest() float64 {
	lowest := 0.0
	for _, stage := range wd.pipeline.Stages {
		rate := float64(stage.Pool.Slots()) / stage.Pool.StageTime.Seconds()
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

func (wd *world) liveDoors() []*door {
	return slices.DeleteFunc(slices.Clone(wd.doors), func(dr *door) bool { return dr.dead })
}

func (wd *world) tellPeers() {
	live := wd.liveDoors()
	for _, dr := range live {
		dr.setPeers(len(live))
	}
}

// planLoad plans the ordinary load, two fifths of it urgent, three fifths of it from the first organisation,
// and the flows beside it.
func (wd *world) planLoad() {
	end := wd.scenario.Config.GetDurationMs()
	ordinary := float64(wd.scenario.Config.GetLoadPercent()) / 100 * wd.capacity
	if ordinary > 0 {
		wd.planFlow(ordinary, 0, end, wd.ordinaryRank, wd.ordinaryOrganisation)
	}
	for _, flow := range wd.scenario.Flows {
		rank := wd.document.Ranks[flow.GetRank()]
		organisation := sortedNames(wd.document.Organisations)[flow.GetOrganisation()]
		to := flow.GetToMs()
		if to == 0 {
			to = end
		}
		wd.planFlow(float64(flow.GetLoadPercent())/100*wd.capacity, flow.GetFromMs(), to,
			func() *document.Rank { return rank },
			func() *document.Organisation { return wd.document.Organisations[organisation] })
	}
}

// planFlow plans arrivals at random times of a mean rate a second.
func (wd *world) planFlow(rate float64, fromMs, toMs int64, rank func() *document.Rank, organisation func() *document.Organisation) {
	end := timer.Milliseconds(toMs)
	arrive := func() {}
	arrive = func() {
		if wd.now >= end {
			return
		}
		wd.arrive(rank(), organisation(), fromMs > 0 || toMs < wd.scenario.Config.GetDurationMs())
		wd.after(time.Duration(wd.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	wd.at(timer.Milliseconds(fromMs), arrive)
}

// ordinaryRank draws a rank: two fifths of the first, the others alike.
func (wd *world) ordinaryRank() *document.Rank {
	ranks := wd.document.RanksByPrecedence
	if len(ranks) == 1 || wd.random.IntN(5) < 2 {
		return ranks[0]
	}
	return ranks[1+wd.random.IntN(len(ranks)-1)]
}

// ordinaryOrganisation draws an organisation: three fifths of the load are the first one's.
func (wd *world) ordinaryOrganisation() *document.Organisation {
	names := sortedNames(wd.document.Organisations)
	at := 0
	if wd.random.IntN(5) >= 3 {
		at = wd.random.IntN(len(names))
	}
	return wd.document.Organisations[names[at]]
}

// arrive sends a request to an instance as an uneven balancer does.
func (wd *world) arrive(rank *document.Rank, organisation *document.Organisation, flood bool) {
	live := wd.liveDoors()
	if len(live) == 0 {
		return
	}
	to := live[wd.random.IntN(len(live))]
	if int64(wd.random.IntN(100)) < wd.scenario.Config.GetSkewPercent() {
		to = live[0]
	}
	wd.requests++
	rq := &request{
		id: wd.requests, rank: rank, organisation: organisation, door: to, began: wd.now,
		deadline: wd.now + rank.Deadline, flood: flood,
	}
	wd.result.offered(rq)
	wd.at(rq.deadline, func() { rq.expire() })
	to.arrive(rq)
}

// planFaults plans what goes wrong.
func (wd *world) planFaults() {
	for _, fault := range wd.scenario.Faults {
		to := fault.GetToMs()
		if to == 0 {
			to = wd.scenario.Config.GetDurationMs()
		}
		wd.at(timer.Milliseconds(fault.GetFromMs()), func() { wd.begin(fault) })
		if fault.GetKind() != "Replace" {
			wd.at(timer.Milliseconds(to), func() { wd.end(fault) })
		}
	}
}

func (wd *world) begin(fault *plan.Fault) {
	switch fault.GetKind() {
	case "Dead":
		wd.hit(fault, func(up *back) { up.die() })
	case "Slow":
		wd.hit(fault, func(up *back) { up.factor = float64(fault.GetFactor()) })
	case "DomainLost":
		wd.loseDomain(failureDomains(wd.document)[0])
	case "Replace":
		wd.replace()
	}
}

func (wd *world) end(fault *plan.Fault) {
	switch fault.GetKind() {
	case "Dead":
		wd.hit(fault, func(up *back) { up.dead = false })
	case "Slow":
		wd.hit(fault, func(up *back) { up.factor = 0 })
	}
}

// hit applies a change to the first part of the pool's upstreams.
func (wd *world) hit(fault *plan.Fault, change func(up *back)) {
	for _, stage := range wd.pipeline.Stages {
		if string(stage.Pool.Kind) != fault.GetPool() {
			continue
		}
		count := (int64(len(stage.Pool.Upstreams))*fault.GetSharePercent() + 99) / 100
		for _, up := range stage.Pool.Upstreams[:count] {
			change(wd.upstreams[up.Name])
		}
	}
}

func (wd *world) loseDomain(domain string) {
	for _, name := range sortedNames(wd.upstreams) {
		if wd.upstreams[name].config.FailureDomain == domain {
			wd.upstreams[name].die()
		}
	}
	for _, dr := range wd.doors {
		if dr.domain == domain {
			dr.die()
		}
	}
	wd.after(detectAfter, wd.tellPeers)
}

// detectAfter is how long instances take to see that another is gone.
const detectAfter = 8 * time.Second

// replace kills an instance each second; another takes its place at once and meets the others.
func (wd *world) replace() {
	if wd.now >= timer.Milliseconds(wd.scenario.Config.GetDurationMs()) {
		return
	}
	victim := wd.liveDoors()[wd.random.IntN(len(wd.liveDoors()))]
	victim.die()
	fresh := newDoor(wd, len(wd.doors), victim.domain)
	wd.doors = append(wd.doors, fresh)
	wd.tellPeers()
	wd.after(time.Second, wd.replace)
}
