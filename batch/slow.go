package batch

import (
	"cmp"
	"slices"
	"time"
)

// Slowdown is the estimate of how slow an upstream is: the ratio of the duration of its calls to the expected duration, as of At.
type Slowdown struct {
	Upstream string
	Factor   float64
	At       time.Time
}

const (
	// minSlowdown is the factor above which an estimate is handed to the scheduler of the next owner.
	minSlowdown = 1.5
	// maxSlowdown bounds the factors that are adopted from another instance.
	maxSlowdown = 100
	// maxSlowUpstreams bounds the estimates that are handed over.
	maxSlowUpstreams = 16
)

// SlowUpstreams returns the estimates for the slowest upstreams.
func (sc *Scheduler) SlowUpstreams(now time.Time) []Slowdown {
	list := []Slowdown{}
	for _, name := range sc.names {
		if up := sc.upstreams[name]; up.currentSlowdown(now) > minSlowdown {
			list = append(list, Slowdown{Upstream: name, Factor: up.slowdown, At: up.slowdownAt})
		}
	}
	slices.SortStableFunc(list, func(left, right Slowdown) int {
		return -cmp.Compare(sc.upstreams[left.Upstream].currentSlowdown(now), sc.upstreams[right.Upstream].currentSlowdown(now))
	})
	return list[:min(len(list), maxSlowUpstreams)]
}

// AdoptSlowdowns adopts the estimates of the previous owner's scheduler. A known estimate of this scheduler is kept unless it is older than
// the adopted one by more than slowdownHalfLife: this scheduler's own estimates come back through other instances.
func (sc *Scheduler) AdoptSlowdowns(now time.Time, list []Slowdown) {
	for _, each := range list[:min(len(list), maxSlowUpstreams)] {
		up := sc.upstreams[each.Upstream]
		if up == nil || !(each.Factor > minSlowdown) || each.At.After(now) || !up.slowdownAt.Add(slowdownHalfLife).Before(each.At) {
			continue
		}
		up.slowdown, up.slowdownAt = min(each.Factor, maxSlowdown), each.At
	}
}
