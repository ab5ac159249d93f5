package gateway

import (
	"math"
	"slices"
	"time"
)

const (
	// otherDomainMargin is how much sooner another failure domain must have results to be preferred.
	otherDomainMargin = 10 * time.Millisecond
	// moveCostPerMB is the time cost of moving results between failure domains.
	moveCostPerMB = 15 * time.Millisecond
	megabyte      = 1e6
)

// moveMargin returns how much sooner another failure domain must have results for the given bytes to be moved there.
func moveMargin(bytes int64) time.Duration {
	return otherDomainMargin + time.Duration(float64(bytes)/megabyte*float64(moveCostPerMB))
}

// expectedStageTime returns the expected duration of the longest chain of stages in a failure domain, including queued
// work and the work that other requests will bring first.
func (rn *run) expectedStageTime(domain string, active []int) time.Duration {
	finish := map[int]time.Duration{}
	longest := time.Duration(0)
	for _, index := range active {
		start := time.Duration(0)
		for _, earlier := range rn.pipeline.Stages[index].DependsOn {
			start = max(start, finish[earlier])
		}
		wait := rn.Stages.ProjectedWait(rn.pipeline.Stages[index].Pool, domain, rn.jobClass(index))
		finish[index] = max(wait, start+rn.callTime(index))
		longest = max(longest, finish[index])
	}
	return longest
}

// planStages selects the failure domain for all stages: the one with the lowest transfer cost among those that finish
// the whole graph nearly as soon as the fastest. The cost includes moving the last results to the session's engine.
func (rn *run) planStages(active []int) domainPlan {
	if len(active) == 0 {
		return domainPlan{domain: rn.FailureDomain}
	}
	engine := rn.engineDomain()
	lastResultsCost := time.Duration(0)
	for _, index := range rn.pipeline.LastStages() {
		if index < len(rn.request.ItemCounts) {
			lastResultsCost += moveMargin(int64(rn.request.ItemCounts[index]) * rn.pipeline.Stages[index].ResultBytes)
		}
	}
	plans := []domainPlan{}
	for _, domain := range rn.stageDomains(active) {
		candidate := domainPlan{domain: domain, expected: rn.expectedStageTime(domain, active), transferCost: rn.missingPoolCost(domain, active)}
		if domain != engine {
			candidate.transferCost += lastResultsCost
		}
		if domain != rn.FailureDomain {
			candidate.transferCost += otherDomainMargin
		}
		plans = append(plans, candidate)
	}
	if len(plans) == 0 {
		return domainPlan{domain: rn.FailureDomain, expected: rn.expectedStageTime(rn.FailureDomain, active)}
	}
	return selectPlan(plans, time.Duration(toleranceShare*float64(rn.pipeline.TargetLatency)))
}

// domainPlan is the plan to run a request's stages in one failure domain: the expected duration and the cost of
// transferring results to and from the domain, as time.
type domainPlan struct {
	domain       string
	expected     time.Duration
	transferCost time.Duration
}

// toleranceShare is the share of the target latency by which the selected failure domain may be slower than the fastest.
const toleranceShare = 0.15

// selectPlan returns the plan with the lowest transfer cost among those nearly as fast as the fastest. Always taking the
// fastest would send all instances, which see the same load reports, to one domain and to the next when that is full.
func selectPlan(plans []domainPlan, slack time.Duration) domainPlan {
	lowest := time.Duration(math.MaxInt64)
	for _, candidate := range plans {
		lowest = min(lowest, candidate.expected+candidate.transferCost)
	}
	best := domainPlan{transferCost: math.MaxInt64}
	for _, candidate := range plans {
		if candidate.expected+candidate.transferCost <= lowest+slack && candidate.transferCost < best.transferCost {
			best = candidate
		}
	}
	return best
}

// stageDomains returns the failure domains that have upstreams for any of the stages.
func (rn *run) stageDomains(active []int) []string {
	list := []string{}
	for _, index := range active {
		for _, domain := range rn.Stages.FailureDomains(rn.pipeline.Stages[index].Pool) {
			if !slices.Contains(list, domain) {
				list = append(list, domain)
			}
		}
	}
	return list
}

// missingPoolCost returns the cost of moving the results of stages for which a failure domain has no upstreams.
func (rn *run) missingPoolCost(domain string, active []int) time.Duration {
	cost := time.Duration(0)
	for _, index := range active {
		stage := rn.pipeline.Stages[index]
		if len(rn.Catalog.Upstreams(stage.Pool, domain)) == 0 {
			cost += moveMargin(int64(rn.request.ItemCounts[index]) * stage.ResultBytes)
		}
	}
	return cost
}

// engineDomain returns the failure domain of the session's preferred engine, or the instance's own without a session.
func (rn *run) engineDomain() string {
	session := rn.request.Prompt.session()
	up, found := rn.Pools.preferredUpstream(rn.pool.Name, rn.Catalog.Upstreams(rn.pool.Name, ""), session)
	if !found || session == 0 {
		return rn.FailureDomain
	}
	return up.FailureDomain
}
