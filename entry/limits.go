package entry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// upstreamsLeaving takes upstreams out of use whose answers say that they are leaving.
func (en *Instance) upstreamsLeaving(since map[roster.Incarnation]time.Time) {
	en.catalog.SetLeaving(since)
}

// coldRate returns the rate that cold upstreams of a pool accept, or 0 if it is not limited.
func (en *Instance) coldRate(pool string) float64 {
	configured, _ := en.catalog.Pool(pool)
	return configured.ColdPerSecond
}

// registered returns all registered upstreams.
func (en *Instance) registered() []*roster.Upstream {
	snapshot, list := en.catalog.Snapshot(), []*roster.Upstream{}
	for _, id := range snapshot.IDs() {
		list = append(list, snapshot.Find(id))
	}
	return list
}

// peerLimits exposes the rate limits of upstreams to other instances.
type peerLimits struct {
	entry *Instance
}

// IssuePermit decides on another instance's request for a permit.
func (lm peerLimits) IssuePermit(request *wire.PermitRequest) *wire.PermitReply {
	return lm.entry.throttle.IssuePermit(request)
}

// ApplyReport applies what an answer to another instance announced.
func (lm peerLimits) ApplyReport(report *wire.LimitReport) *wire.LimitReply {
	return lm.entry.throttle.ApplyReport(report)
}

// News returns the limits for a heartbeat, all of them for a full exchange.
func (lm peerLimits) News(full bool) []*wire.UpstreamNotice {
	return lm.entry.throttle.News(full)
}

// AddNews adds the limits in a heartbeat.
func (lm peerLimits) AddNews(news []*wire.UpstreamNotice) {
	lm.entry.throttle.AddNews(news)
}
