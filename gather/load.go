package gather

import (
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Load is the expected wait at a place: of items that are due soon, of those behind all others, and of those that are
// due soon and have results of LargeBytes.
type Load struct {
	DueSoonWait      time.Duration
	LowUrgencyWait   time.Duration
	LargeResultWait  time.Duration
	LargeResultBytes int64
}

// JobClass is what decides how long work waits: patient work goes behind all other, and large results need room.
type JobClass struct {
	LowUrgency  bool
	ResultBytes int64
}

// of returns the wait for a wish.
func (ld Load) of(wish JobClass) time.Duration {
	switch {
	case wish.LowUrgency:
		return ld.LowUrgencyWait
	case ld.LargeResultBytes > 0 && 2*wish.ResultBytes > ld.LargeResultBytes:
		return ld.LargeResultWait
	default:
		return ld.DueSoonWait
	}
}

// toWire states a load in a message.
func (ld Load) toWire(failureDomain string) *wire.PoolLoad {
	return &wire.PoolLoad{
		FailureDomain: failureDomain, WaitMs: ld.DueSoonWait.Milliseconds(), LastMs: ld.LowUrgencyWait.Milliseconds(),
		LargeMs: ld.LargeResultWait.Milliseconds(), LargeBytes: ld.LargeResultBytes,
	}
}

// ShortestWait returns the shortest expected wait for a pool's results, and the failure domain that has it. One that is
// longer by less than margin in the preferred failure domain goes first.
func (cl *Client) ShortestWait(pool, preferred string, margin time.Duration, wish JobClass) (string, time.Duration) {
	now := cl.timers.Now()
	best, lowest := preferred, time.Duration(-1)
	for _, domain := range cl.FailureDomains(pool) {
		wait := cl.waitAt(now, QueueKey{Pool: pool, FailureDomain: domain}, wish)
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

// ExpectedWait returns the expected wait for a pool's results in one failure domain; where it has no upstreams, in the
// domain that has them first.
func (cl *Client) ExpectedWait(pool, domain string, wish JobClass) time.Duration {
	if len(cl.view.Upstreams(pool, domain)) == 0 {
		_, wait := cl.ShortestWait(pool, "", 0, wish)
		return wait + elsewhereCost
	}
	return cl.waitAt(cl.timers.Now(), QueueKey{Pool: pool, FailureDomain: domain}, wish)
}

// ProjectedWait is ExpectedWait with the items that other requests will bring to the pool before, where they go first.
func (cl *Client) ProjectedWait(pool, domain string, wish JobClass) time.Duration {
	now := cl.timers.Now()
	coming := 0
	cl.mu.Lock()
	for at, known := range cl.upcoming {
		if at.FailureDomain != domain || now.Sub(known.at) > upcomingLife {
			continue
		}
		for _, one := range known.items {
			switch {
			case one.Pool != pool:
			case wish.LowUrgency:
				coming += one.Items
			default:
				coming += one.DueSoon
			}
		}
	}
	cl.mu.Unlock()
	return cl.ExpectedWait(pool, domain, wish) + time.Duration(coming)*cl.itemTime(pool, domain)
}

// laterFull refuses work whose request would be late because of a pool that it needs afterwards. All requests that
// begin at a place pass its gatherer, which knows what they will bring to the pools behind better than the instances,
// which each decide on what they heard some time ago.
func (cl *Client) laterFull(at QueueKey, work Job) *Refused {
	if work.FinishBy.IsZero() || len(work.LaterItems) == 0 || !cl.gatherer.gathers(at) {
		return nil
	}
	cl.learnUpcoming(at, cl.gatherer.Upcoming(at))
	now := cl.timers.Now()
	for _, later := range work.LaterItems {
		if len(cl.view.Upstreams(later.Pool, at.FailureDomain)) == 0 {
			continue
		}
		wait := cl.ProjectedWait(later.Pool, at.FailureDomain, JobClass{LowUrgency: work.LowUrgency})
		if now.Add(wait).After(work.FinishBy) {
			return &Refused{Wait: wait, Cause: later.Pool + " is full", FullPool: later.Pool}
		}
	}
	return nil
}

// upcomingLife is how long what a place told of items to come counts.
const upcomingLife = 1500 * time.Millisecond

// itemTime is the time that each item adds to a pool's wait in a failure domain, in full batches.
func (cl *Client) itemTime(pool, domain string) time.Duration {
	described, known := cl.view.Pool(pool)
	upstreams := len(cl.view.Upstreams(pool, domain))
	if !known || described.Batching == nil || upstreams == 0 {
		return 0
	}
	each := described.Batching.CallTime/time.Duration(max(described.Batching.MaxBatch, 1)) + described.Batching.ItemTime
	return each / time.Duration(upstreams)
}

// learnUpcoming takes note of the items that requests at a place will need of other pools.
func (cl *Client) learnUpcoming(at QueueKey, items []PoolItems) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.upcoming[at] = upcoming{items: items, at: cl.timers.Now()}
}

// elsewhereCost is added to the wait of a pool that a failure domain does not have.
const elsewhereCost = 50 * time.Millisecond

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
	// unusable is a wait that only a place without a usable upstream has.
	unusable = time.Minute
	// unusableLife is how long a place that was told to be unusable counts as such. No work goes there meanwhile, so
	// that nothing newer is told: the next work asks again, and is refused at once if nothing has changed.
	unusableLife = 500 * time.Millisecond
)

// aged is a load as it should be by now: what waited is worked on meanwhile.
func (ld load) aged(now time.Time) Load {
	past := now.Sub(ld.at)
	age := func(wait time.Duration) time.Duration {
		switch {
		case wait < unusable:
			return max(wait-past, 0)
		case past < unusableLife:
			return wait
		}
		return 0
	}
	return Load{DueSoonWait: age(ld.DueSoonWait), LowUrgencyWait: age(ld.LowUrgencyWait), LargeResultWait: age(ld.LargeResultWait), LargeResultBytes: ld.LargeResultBytes}
}

// waitAt is the wait at a place: as it was told, less the time since, but at least that of a call alone.
func (cl *Client) waitAt(now time.Time, at QueueKey, wish JobClass) time.Duration {
	alone := time.Duration(0)
	if pool, known := cl.view.Pool(at.Pool); known && pool.Batching != nil {
		alone = pool.Batching.CallTime + pool.Batching.ItemTime
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return max(cl.loads[at].aged(now).of(wish), alone)
}

func (cl *Client) learn(pool string, loads []*wire.PoolLoad) {
	now := cl.timers.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, each := range loads {
		at := QueueKey{Pool: pool, FailureDomain: each.GetFailureDomain()}
		asOf := now.Add(-timer.Milliseconds(each.GetAgeMs()))
		if cl.loads[at].at.Before(asOf) {
			cl.loads[at] = load{
				Load: Load{
					DueSoonWait: timer.Milliseconds(each.GetWaitMs()), LowUrgencyWait: timer.Milliseconds(each.GetLastMs()),
					LargeResultWait: timer.Milliseconds(each.GetLargeMs()), LargeResultBytes: each.GetLargeBytes(),
				},
				at: asOf,
			}
		}
	}
}

// loadsOf returns what is known of a pool's places.
func (cl *Client) loadsOf(pool string) []*wire.PoolLoad {
	now := cl.timers.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := []*wire.PoolLoad{}
	for at, known := range cl.loads {
		if at.Pool == pool && now.Sub(known.at) < loadLife {
			told := known.toWire(at.FailureDomain)
			told.AgeMs = now.Sub(known.at).Milliseconds()
			list = append(list, told)
		}
	}
	return list
}

// loadLife is how long a told load is passed on.
const loadLife = 3 * time.Second

// submitted adds work that was just handed over to what is known of a place's wait.
func (cl *Client) submitted(at QueueKey, count int) {
	now := cl.timers.Now()
	added := time.Duration(count) * cl.itemTime(at.Pool, at.FailureDomain)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	known := cl.loads[at].aged(now)
	known.DueSoonWait += added
	known.LowUrgencyWait += added
	known.LargeResultWait += added
	cl.loads[at] = load{Load: known, at: now}
}
