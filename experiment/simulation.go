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

// event is a function that runs at a simulated time. Events of the same time run in the order in which they
// were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// newEventQueue returns an empty queue of events.
func newEventQueue() *priority.Queue[event] {
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

// simulation is the state of one run: the fake upstreams, the entry instances and the scheduled events.
type simulation struct {
	document       *document.Document
	pipeline       *document.Pipeline
	scenario       *Scenario
	policy         Policy
	random         *rand.Rand
	now            time.Duration
	events         *priority.Queue[event]
	lastOrder      int
	upstreams      map[string]*fakeUpstream
	entryInstances []*entryInstance
	lastRequestID  uint64
	capacity       float64
	instanceCount  int
	result         *Result
}

// origin is the wall-clock time at which the simulated time is 0.
var origin = time.Unix(1_700_000_000, 0)

// clock returns the simulated time as a wall-clock time.
func (sim *simulation) clock() time.Time {
	return origin.Add(sim.now)
}

// schedule runs a function at a simulated time, or at the current one if that time has passed.
func (sim *simulation) schedule(when time.Duration, run func()) {
	sim.lastOrder++
	sim.events.Push(event{at: max(when, sim.now), order: sim.lastOrder, run: run})
}

// scheduleAfter runs a function once length has passed.
func (sim *simulation) scheduleAfter(length time.Duration, run func()) {
	sim.schedule(sim.now+length, run)
}

// Run simulates a scenario on the document's pipeline with the most stages. The result depends only on the
// arguments.
func Run(parsed *document.Document, scenario *Scenario, policy Policy, instances int, seed uint64) *Result {
	sim := &simulation{
		document: parsed, pipeline: longestPipeline(parsed), scenario: scenario, policy: policy,
		random: rand.New(rand.NewPCG(seed, 7)), upstreams: map[string]*fakeUpstream{}, result: newResult(),
		instanceCount: instances, events: newEventQueue(),
	}
	for _, name := range sortedNames(parsed.Upstreams) {
		up := parsed.Upstreams[name]
		sim.upstreams[name] = newFakeUpstream(sim, up)
	}
	sim.capacity = sim.bottleneckRate()
	domains := failureDomains(parsed)
	for at := range instances {
		sim.entryInstances = append(sim.entryInstances, newEntryInstance(sim, at, domains[at%len(domains)]))
	}
	sim.updateLiveInstances()
	sim.scheduleLoad()
	sim.scheduleFaults()
	end := timer.Milliseconds(scenario.Config.GetDurationMs())
	for sim.events.Len() > 0 {
		next := sim.events.Pop()
		sim.now = next.at
		next.run()
		if sim.now > end+maxDrain {
			break
		}
	}
	sim.result.seconds = end.Seconds()
	sim.result.capacity = sim.capacity
	return sim.result
}

// maxDrain is how long a run continues after the scenario's duration, so that requests in progress can end.
const maxDrain = 150 * time.Second

// sortedNames returns the keys in sorted order.
func sortedNames[T any](from map[string]T) []string {
	names := []string{}
	for name := range from {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// longestPipeline returns the pipeline with the most stages, the first by name if several have as many.
func longestPipeline(parsed *document.Document) *document.Pipeline {
	best := (*document.Pipeline)(nil)
	for _, name := range sortedNames(parsed.Pipelines) {
		pipeline := parsed.Pipelines[name]
		if best == nil || len(pipeline.Stages) > len(best.Stages) {
			best = pipeline
		}
	}
	return best
}

// failureDomains returns the failure domains of the upstreams, without duplicates.
func failureDomains(parsed *document.Document) []string {
	domains := []string{}
	for _, name := range sortedNames(parsed.Upstreams) {
		if domain := parsed.Upstreams[name].FailureDomain; !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// bottleneckRate returns how many requests per second the pipeline can serve, which is the capacity of its
// narrowest pool.
func (sim *simulation) bottleneckRate() float64 {
	lowest := 0.0
	for _, stage := range sim.pipeline.Stages {
		rate := float64(stage.Pool.Slots()) / stage.Pool.StageTime.Seconds()
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// liveInstances returns the entry instances that have not crashed.
func (sim *simulation) liveInstances() []*entryInstance {
	return slices.DeleteFunc(slices.Clone(sim.entryInstances), func(inst *entryInstance) bool { return inst.crashed })
}

// updateLiveInstances sets the number of live instances in each of them.
func (sim *simulation) updateLiveInstances() {
	live := sim.liveInstances()
	for _, inst := range live {
		inst.setLiveInstances(len(live))
	}
}

// scheduleLoad schedules the ordinary load and the flows of the scenario.
func (sim *simulation) scheduleLoad() {
	end := sim.scenario.Config.GetDurationMs()
	ordinary := float64(sim.scenario.Config.GetLoadPercent()) / 100 * sim.capacity
	if ordinary > 0 {
		sim.scheduleFlow(ordinary, 0, end, sim.ordinaryRank, sim.ordinaryOrganisation)
	}
	for _, flow := range sim.scenario.Flows {
		rank := sim.document.Ranks[flow.GetRank()]
		organisation := sortedNames(sim.document.Organisations)[flow.GetOrganisation()]
		to := flow.GetToMs()
		if to == 0 {
			to = end
		}
		sim.scheduleFlow(float64(flow.GetLoadPercent())/100*sim.capacity, flow.GetFromMs(), to,
			func() *document.Rank { return rank },
			func() *document.Organisation { return sim.document.Organisations[organisation] })
	}
}

// scheduleFlow schedules arrivals with a mean rate per second and exponentially distributed gaps; the first
// one is at fromMs.
func (sim *simulation) scheduleFlow(rate float64, fromMs, toMs int64, rank func() *document.Rank, organisation func() *document.Organisation) {
	end := timer.Milliseconds(toMs)
	arrive := func() {}
	arrive = func() {
		if sim.now >= end {
			return
		}
		sim.arrive(rank(), organisation(), fromMs > 0 || toMs < sim.scenario.Config.GetDurationMs())
		sim.scheduleAfter(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	sim.schedule(timer.Milliseconds(fromMs), arrive)
}

// ordinaryRank draws a rank: the first one for two fifths of the requests, the others with equal
// probability.
func (sim *simulation) ordinaryRank() *document.Rank {
	ranks := sim.document.RanksByPrecedence
	if len(ranks) == 1 || sim.random.IntN(5) < 2 {
		return ranks[0]
	}
	return ranks[1+sim.random.IntN(len(ranks)-1)]
}

// ordinaryOrganisation draws an organisation: the first one by name for three fifths of the requests, any
// with equal probability for the rest.
func (sim *simulation) ordinaryOrganisation() *document.Organisation {
	names := sortedNames(sim.document.Organisations)
	at := 0
	if sim.random.IntN(5) >= 3 {
		at = sim.random.IntN(len(names))
	}
	return sim.document.Organisations[names[at]]
}

// arrive sends a request to an instance like an uneven load balancer: SkewPercent of the requests go to the
// first live instance, the others to a random one.
func (sim *simulation) arrive(rank *document.Rank, organisation *document.Organisation, flood bool) {
	live := sim.liveInstances()
	if len(live) == 0 {
		return
	}
	to := live[sim.random.IntN(len(live))]
	if int64(sim.random.IntN(100)) < sim.scenario.Config.GetSkewPercent() {
		to = live[0]
	}
	sim.lastRequestID++
	rq := &request{
		id: sim.lastRequestID, rank: rank, organisation: organisation, entry: to, arrivedAt: sim.now,
		deadline: sim.now + rank.Deadline, isFlood: flood,
	}
	sim.result.recordArrival(rq)
	sim.schedule(rq.deadline, func() { rq.expire() })
	to.admit(rq)
}

// scheduleFaults schedules the start and the end of each fault of the scenario.
func (sim *simulation) scheduleFaults() {
	for _, fault := range sim.scenario.Faults {
		to := fault.GetToMs()
		if to == 0 {
			to = sim.scenario.Config.GetDurationMs()
		}
		sim.schedule(timer.Milliseconds(fault.GetFromMs()), func() { sim.startFault(fault) })
		if fault.GetKind() != "Replace" {
			sim.schedule(timer.Milliseconds(to), func() { sim.endFault(fault) })
		}
	}
}

// startFault applies a fault.
func (sim *simulation) startFault(fault *plan.Fault) {
	switch fault.GetKind() {
	case "Dead":
		sim.changeUpstreams(fault, func(up *fakeUpstream) { up.crash() })
	case "Slow":
		sim.changeUpstreams(fault, func(up *fakeUpstream) { up.slowdown = float64(fault.GetFactor()) })
	case "DomainLost":
		sim.crashDomain(failureDomains(sim.document)[0])
	case "Replace":
		sim.replaceInstances()
	}
}

// endFault reverts the faults Dead and Slow. A lost failure domain stays lost.
func (sim *simulation) endFault(fault *plan.Fault) {
	switch fault.GetKind() {
	case "Dead":
		sim.changeUpstreams(fault, func(up *fakeUpstream) { up.crashed = false })
	case "Slow":
		sim.changeUpstreams(fault, func(up *fakeUpstream) { up.slowdown = 0 })
	}
}

// changeUpstreams applies a change to the first SharePercent of the upstreams in the fault's pool, rounded
// up.
func (sim *simulation) changeUpstreams(fault *plan.Fault, change func(up *fakeUpstream)) {
	for _, stage := range sim.pipeline.Stages {
		if string(stage.Pool.Kind) != fault.GetPool() {
			continue
		}
		count := (int64(len(stage.Pool.Upstreams))*fault.GetSharePercent() + 99) / 100
		for _, up := range stage.Pool.Upstreams[:count] {
			change(sim.upstreams[up.Name])
		}
	}
}

// crashDomain crashes all upstreams and entry instances of a failure domain.
func (sim *simulation) crashDomain(domain string) {
	for _, name := range sortedNames(sim.upstreams) {
		if sim.upstreams[name].config.FailureDomain == domain {
			sim.upstreams[name].crash()
		}
	}
	for _, inst := range sim.entryInstances {
		if inst.domain == domain {
			inst.crash()
		}
	}
	sim.scheduleAfter(detectionDelay, sim.updateLiveInstances)
}

// detectionDelay is how long the other instances take to detect crashed ones.
const detectionDelay = 8 * time.Second

// replaceInstances crashes a random instance each second until the end of the scenario, and adds a new one
// in its failure domain. The number of live instances is updated at once.
func (sim *simulation) replaceInstances() {
	if sim.now >= timer.Milliseconds(sim.scenario.Config.GetDurationMs()) {
		return
	}
	crashed := sim.liveInstances()[sim.random.IntN(len(sim.liveInstances()))]
	crashed.crash()
	replacement := newEntryInstance(sim, len(sim.entryInstances), crashed.domain)
	sim.entryInstances = append(sim.entryInstances, replacement)
	sim.updateLiveInstances()
	sim.scheduleAfter(time.Second, sim.replaceInstances)
}
