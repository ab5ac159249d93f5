package gather

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/batch"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timer"
)

// toWireSlow converts estimates of slow upstreams to a message, with their ages.
func toWireSlow(now time.Time, list []batch.Slowdown) []*wire.SlowUpstream {
	converted := []*wire.SlowUpstream{}
	for _, each := range list {
		id, start := splitName(each.Upstream)
		converted = append(converted, &wire.SlowUpstream{
			Upstream: id, StartUnixMs: start, Factor: each.Factor, AgeMs: now.Sub(each.At).Milliseconds(),
		})
	}
	return converted
}

// fromWireSlow converts estimates of slow upstreams from a message.
func fromWireSlow(now time.Time, list []*wire.SlowUpstream) []batch.Slowdown {
	converted := []batch.Slowdown{}
	for _, each := range list[:min(len(list), maxSlowUpstreams)] {
		converted = append(converted, batch.Slowdown{
			Upstream: joinName(each.GetUpstream(), each.GetStartUnixMs()), Factor: each.GetFactor(), At: now.Add(-timer.Milliseconds(max(each.GetAgeMs(), 0))),
		})
	}
	return converted
}

// maxSlowUpstreams bounds the estimates that are taken from one message.
const maxSlowUpstreams = 16

// joinName returns the name of an incarnation of an upstream in the scheduler.
func joinName(id string, startUnixMs int64) string {
	return id + "@" + strconv.FormatInt(startUnixMs, 10)
}

// splitName returns the id and the start time of an upstream from its name in the scheduler.
func splitName(name string) (string, int64) {
	at := strings.LastIndexByte(name, '@')
	start, _ := strconv.ParseInt(name[at+1:], 10, 64)
	return name[:max(at, 0)], start
}

// slowReports holds the estimates of slow upstreams that the owners of queues have sent last; it is safe for concurrent use.
type slowReports struct {
	mu      sync.Mutex
	byQueue map[QueueKey]slowReport
}

// slowReport holds the estimates of one message. receivedAt is when the message arrived, measuredAt when its load was measured.
type slowReport struct {
	list       []batch.Slowdown
	receivedAt time.Time
	measuredAt time.Time
}

// reportRetention is how long the report of a queue is kept; its estimates are too old to count long before.
const reportRetention = time.Minute

// put replaces the report of a queue if the known one is older, and drops the reports that are older than reportRetention.
func (sr *slowReports) put(key QueueKey, fresh slowReport) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for other, known := range sr.byQueue {
		if fresh.receivedAt.Sub(known.receivedAt) > reportRetention {
			delete(sr.byQueue, other)
		}
	}
	if sr.byQueue[key].measuredAt.Before(fresh.measuredAt) {
		sr.byQueue[key] = fresh
	}
}

// handoverTime is the longest time after an owner's last report in which its estimates do not age: between two owners no call can show
// that an upstream is faster again. It is also how long a queue must have had no jobs before it adopts estimates.
const handoverTime = 3 * time.Second

// get returns the estimates in the last report of a queue; they do not age in the first handoverTime after it arrived.
func (sr *slowReports) get(now time.Time, key QueueKey) []batch.Slowdown {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	known := sr.byQueue[key]
	list := slices.Clone(known.list)
	for at := range list {
		list[at].At = list[at].At.Add(min(now.Sub(known.receivedAt), handoverTime))
	}
	return list
}

// receiveLoads caches loads that another instance has sent, and the estimates of slow upstreams for the case that this instance
// becomes the owner of their queues.
func (cl *Client) receiveLoads(pool string, loads []*wire.PoolLoad) {
	cl.updateLoads(pool, loads)
	now := cl.timers.Now()
	for _, each := range loads {
		key := QueueKey{Pool: pool, FailureDomain: each.GetFailureDomain()}
		cl.gatherer.slow.put(key, slowReport{
			list: fromWireSlow(now, each.GetSlow()), receivedAt: now, measuredAt: now.Add(-timer.Milliseconds(max(each.GetAgeMs(), 0))),
		})
	}
}

// cachedSlow returns the estimates of slow upstreams in the cached load of a queue.
func (cl *Client) cachedSlow(key QueueKey) []batch.Slowdown {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.loads[key].Slow
}
