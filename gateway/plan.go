package gateway

import (
	"math"
	"slices"
	"time"
)

const (
	// nearMargin is how much sooner another failure domain must have results for items to go there.
	nearMargin = 10 * time.Millisecond
	// moveCostPerMB is what moving results between failure domains costs, as time.
	moveCostPerMB = 15 * time.Millisecond
	megabyte      = 1e6
)

// moveMargin is how much sooner another failure domain must have results for so many bytes to be moved there.
func moveMargin(bytes int64) time.Duration {
	return nearMargin + time.Duration(float64(bytes)/megabyte*float64(moveCostPerMB))
}

// expectStages returns the time that the longest chain of stages is expected to take in a failure domain, with the
// work that is there and the work that other requests will bring before.
func (rn *run) expectStages(domain string, active []int) time.Duration {
	finish := map[int]time.Duration{}
	longest := time.Duration(0)
	for _, index := range active {
		start := time.Duration(0)
		for _, earlier := range rn.pipeline.Stages[index].DependsOn {
			start = max(start, finish[earlier])
		}
		wait := rn.Stages.ProjectedWait(rn.pipeline.Stages[index].Pool, domain, rn.wish(index))
		finish[index] = max(wait, start+rn.callTime(index))
		longest = max(longest, finish[index])
	}
	return longest
}

// plan chooses the failure domain in which all stages are to be done: the nearest of those that have the results of
// the whole graph about first. Distance counts the way of the last results to the session's engine.
func (rn *run) plan(active []int) plan {
	if len(active) == 0 {
		return plan{domain: rn.FailureDomain}
	}
	engine := rn.engineDomain()
	far := time.Duration(0)
	for _, index := range rn.pipeline.LastStages() {
		if index < len(rn.request.ItemCounts) {
			far += moveMargin(int64(rn.request.ItemCounts[index]) * rn.pipeline.Stages[index].ResultBytes)
		}
	}
	plans := []plan{}
	for _, domain := range rn.stageDomains(active) {
		one := plan{domain: domain, expected: rn.expectStages(domain, active), distance: rn.elsewhere(domain, active)}
		if domain != engine {
			one.distance += far
		}
		if domain != rn.FailureDomain {
			one.distance += nearMargin
		}
		plans = append(plans, one)
	}
	if len(plans) == 0 {
		return plan{domain: rn.FailureDomain, expected: rn.expectStages(rn.FailureDomain, active)}
	}
	return nearestOf(plans, time.Duration(steadyShare*float64(rn.pipeline.TargetLatency)))
}

// plan is one failure domain for a request's stages: when their results are expected, and what it costs that the domain
// is not the nearest, as time.
type plan struct {
	domain   string
	expected time.Duration
	distance time.Duration
}

// steadyShare is the part of the target by which the nearest failure domain may be slower than the quickest.
const steadyShare = 0.15

// nearestOf returns the nearest of the domains that are about as quick as the quickest. Going to the quickest as it was
// heard to be would send all instances to the same one, and to another when that is full.
func nearestOf(plans []plan, slack time.Duration) plan {
	lowest := time.Duration(math.MaxInt64)
	for _, one := range plans {
		lowest = min(lowest, one.expected+one.distance)
	}
	best := plan{distance: math.MaxInt64}
	for _, one := range plans {
		if one.expected+one.distance <= lowest+slack && one.distance < best.distance {
			best = one
		}
	}
	return best
}

// stageDomains returns the failure domains that have upstreams of any of the stages.
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

// elsewhere is the cost of moving the results of stages that a failure domain has no upstreams for.
func (rn *run) elsewhere(domain string, active []int) time.Duration {
	cost := time.Duration(0)
	for _, index := range active {
		stage := rn.pipeline.Stages[index]
		if len(rn.Catalog.Upstreams(stage.Pool, domain)) == 0 {
			cost += moveMargin(int64(rn.request.ItemCounts[index]) * stage.ResultBytes)
		}
	}
	return cost
}

// engineDomain is the failure domain of the engine that the request's session belongs to.
func (rn *run) engineDomain() string {
	session := rn.request.Prompt.session()
	up, found := rn.Pools.first(rn.pool.Name, rn.Catalog.Upstreams(rn.pool.Name, ""), session)
	if !found || session == 0 {
		return rn.FailureDomain
	}
	return up.FailureDomain
}
