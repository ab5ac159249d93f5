package gather

import (
	"fmt"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Load holds the expected waits of new jobs in a queue: of one that is due soon, of one behind all others, and of one
// that is due soon and has results of LargeResultBytes.
type Load struct {
	DueSoonWait      time.Duration
	LowUrgencyWait   time.Duration
	LargeResultWait  time.Duration
	LargeResultBytes int64
	// Slow are the estimates for slow upstreams of the queue.
	Slow []batch.Slowdown
}

// JobClass holds the properties of a job that its expected wait depends on: with LowUrgency it waits behind all others,
// and a job with large results also waits until an upstream has memory for them.
type JobClass struct {
	LowUrgency bool
	// ResultBytes is the size of one item's result.
	ResultBytes int64
}

// wait returns the expected wait of a job of a class.
func (ld Load) wait(class JobClass) time.Duration {
	switch {
	case class.LowUrgency:
		return ld.LowUrgencyWait
	case ld.LargeResultBytes > 0 && 2*class.ResultBytes > ld.LargeResultBytes:
		return ld.LargeResultWait
	default:
		return ld.DueSoonWait
	}
}

func (ld Load) toWire(now time.Time, failureDomain string) *wire.PoolLoad {
	return &wire.PoolLoad{
		FailureDomain: failureDomain, WaitMs: ld.DueSoonWait.Milliseconds(), LastMs: ld.LowUrgencyWait.Milliseconds(),
		LargeMs: ld.LargeResultWait.Milliseconds(), LargeBytes: ld.LargeResultBytes,
		Slow: toWireSlow(now, ld.Slow),
	}
}

// ShortestWait returns the failure domain with the shortest expected wait for a pool's results, and that wait. The
// preferred failure domain is returned unless another one is shorter by more than margin.
func (cl *Client) ShortestWait(pool, preferred string, margin time.Duration, class JobClass) (string, time.Duration) {
	now := cl.timers.Now()
	best, lowest := preferred, time.Duration(-1)
	for _, domain := range cl.FailureDomains(pool) {
		wait := cl.cachedWait(now, QueueKey{Pool: pool, FailureDomain: domain}, class)
		compared := wait
		if domain != preferred {
			compared += margin
		}
		if lowest < 0 || compared < lowest {
			best, lowest = domain, compared
		}
	}
	if best != preferred {
		lowest -= margin
	}
	return best, max(lowest, 0)
}

// ExpectedWait returns the expected wait for a pool's results in one failure domain. If the domain has no upstreams of the
// pool, it returns the shortest wait in any other failure domain plus otherDomainPenalty.
func (cl *Client) ExpectedWait(pool, domain string, class JobClass) time.Duration {
	if len(cl.view.Upstreams(pool, domain)) == 0 {
		_, wait := cl.ShortestWait(pool, "", 0, class)
		return wait + otherDomainPenalty
	}
	return cl.cachedWait(cl.timers.Now(), QueueKey{Pool: pool, FailureDomain: domain}, class)
}

// ProjectedWait is ExpectedWait plus the time for the upcoming items of other requests that will be served first: all of
// them for a low-urgency job, else those that are due soon.
func (cl *Client) ProjectedWait(pool, domain string, class JobClass) time.Duration {
	now := cl.timers.Now()
	itemsAhead := 0
	cl.mu.Lock()
	for key, known := range cl.upcoming {
		if key.FailureDomain != domain || now.Sub(known.at) > upcomingTTL {
			continue
		}
		for _, one := range known.items {
			switch {
			case one.Pool != pool:
			case class.LowUrgency:
				itemsAhead += one.Items
			default:
				itemsAhead += one.DueSoon
			}
		}
	}
	cl.mu.Unlock()
	return cl.ExpectedWait(pool, domain, class) + time.Duration(itemsAhead)*cl.itemTime(pool, domain)
}

// checkLaterPools refuses a job if a pool of a later stage would make its request late. The owner of the first queue
// decides this because the requests that start there all pass it: it knows their upcoming items, while the other
// instances only have older loads.
func (cl *Client) checkLaterPools(key QueueKey, job Job) *Refused {
	if job.FinishBy.IsZero() || len(job.LaterItems) == 0 || !cl.gatherer.hasQueue(key) {
		return nil
	}
	cl.updateUpcoming(key, cl.gatherer.Upcoming(key))
	now := cl.timers.Now()
	for _, later := range job.LaterItems {
		if len(cl.view.Upstreams(later.Pool, key.FailureDomain)) == 0 {
			continue
		}
		wait := cl.ProjectedWait(later.Pool, key.FailureDomain, JobClass{LowUrgency: job.LowUrgency})
		if now.Add(wait).After(job.FinishBy) {
			return &Refused{Wait: wait, Cause: fmt.Sprintf("later pool %q is full", later.Pool), FullPool: later.Pool}
		}
	}
	return nil
}

// upcomingTTL is how long the cached upcoming items of a queue count in ProjectedWait.
const upcomingTTL = 1500 * time.Millisecond

// itemTime returns the time that each item in full batches adds to a pool's wait in a failure domain.
func (cl *Client) itemTime(pool, domain string) time.Duration {
	described, known := cl.view.Pool(pool)
	upstreams := len(cl.view.Upstreams(pool, domain))
	if !known || described.Batching == nil || upstreams == 0 {
		return 0
	}
	each := described.Batching.CallTime/time.Duration(max(described.Batching.MaxBatch, 1)) + described.Batching.ItemTime
	return each / time.Duration(upstreams)
}

func (cl *Client) updateUpcoming(key QueueKey, items []PoolItems) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.upcoming[key] = upcomingItems{items: items, at: cl.timers.Now()}
}

// otherDomainPenalty is added to the wait if the results are made in another failure domain.
const otherDomainPenalty = 50 * time.Millisecond

// FailureDomains returns the failure domains that have upstreams of a pool.
func (cl *Client) FailureDomains(pool string) []string {
	list := []string{}
	for _, up := range cl.view.Upstreams(pool, "") {
		if !slices.Contains(list, up.FailureDomain) {
			list = append(list, up.FailureDomain)
		}
	}
	return list
}

const (
	// unusableWait is the least wait that only a queue without a usable upstream reports.
	unusableWait = time.Minute
	// unusableTTL is how long a wait that long is believed. No job is sent to that queue meanwhile, so nothing updates
	// its load; the next job afterwards probes it, and is refused at once if it is still unusable.
	unusableTTL = 500 * time.Millisecond
)

// decayed returns the load less the time since it was measured, in which the queue has shortened.
func (ld cachedLoad) decayed(now time.Time) Load {
	elapsed := now.Sub(ld.at)
	age := func(wait time.Duration) time.Duration {
		switch {
		case wait < unusableWait:
			return max(wait-elapsed, 0)
		case elapsed < unusableTTL:
			return wait
		}
		return 0
	}
	return Load{
		DueSoonWait: age(ld.DueSoonWait), LowUrgencyWait: age(ld.LowUrgencyWait), LargeResultWait: age(ld.LargeResultWait),
		LargeResultBytes: ld.LargeResultBytes, Slow: ld.Slow,
	}
}

// cachedWait returns the decayed wait of a queue, at least the duration of a call with one item.
func (cl *Client) cachedWait(now time.Time, key QueueKey, class JobClass) time.Duration {
	minimum := time.Duration(0)
	if pool, known := cl.view.Pool(key.Pool); known && pool.Batching != nil {
		minimum = pool.Batching.CallTime + pool.Batching.ItemTime
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return max(cl.loads[key].decayed(now).wait(class), minimum)
}

func (cl *Client) updateLoads(pool string, loads []*wire.PoolLoad) {
	now := cl.timers.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, each := range loads {
		key := QueueKey{Pool: pool, FailureDomain: each.GetFailureDomain()}
		measuredAt := now.Add(-timer.Milliseconds(each.GetAgeMs()))
		if cl.loads[key].at.Before(measuredAt) {
			cl.loads[key] = cachedLoad{
				Load: Load{
					DueSoonWait: timer.Milliseconds(each.GetWaitMs()), LowUrgencyWait: timer.Milliseconds(each.GetLastMs()),
					LargeResultWait: timer.Milliseconds(each.GetLargeMs()), LargeResultBytes: each.GetLargeBytes(),
					Slow: fromWireSlow(now, each.GetSlow()),
				},
				at: measuredAt,
			}
		}
	}
}

// cachedLoads returns the recent loads of the queues of a pool, with their ages.
func (cl *Client) cachedLoads(pool string) []*wire.PoolLoad {
	now := cl.timers.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := []*wire.PoolLoad{}
	for key, known := range cl.loads {
		if key.Pool == pool && now.Sub(known.at) < loadTTL {
			message := known.toWire(now, key.FailureDomain)
			message.AgeMs = now.Sub(known.at).Milliseconds()
			list = append(list, message)
		}
	}
	return list
}

// loadTTL is how long a cached load is passed on to other instances.
const loadTTL = 3 * time.Second

// addSubmitted adds a job that is being submitted to the cached load of its queue.
func (cl *Client) addSubmitted(key QueueKey, count int) {
	now := cl.timers.Now()
	added := time.Duration(count) * cl.itemTime(key.Pool, key.FailureDomain)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	known := cl.loads[key].decayed(now)
	known.DueSoonWait += added
	known.LowUrgencyWait += added
	known.LargeResultWait += added
	cl.loads[key] = cachedLoad{Load: known, at: now}
}
