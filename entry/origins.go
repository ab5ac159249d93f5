package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/route"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// peerOrigins exposes the origins of streams to other instances.
type peerOrigins struct {
	entry *Instance
}

// Keep keeps the records of another instance.
func (og peerOrigins) Keep(request *wire.RecordOriginsRequest) {
	og.entry.streams.Keep(request)
}

// Reply answers another instance's search for the origin of a stream.
func (og peerOrigins) Reply(request *wire.FindOriginRequest) *wire.FindOriginReply {
	return og.entry.streams.Reply(request)
}

// EndedNews returns the ended incarnations of upstreams for a heartbeat, all of them for a full exchange.
func (og peerOrigins) EndedNews(full bool) []*wire.EndedUpstream {
	return og.entry.streams.EndedNews(full)
}

// AddEndedNews adds the ended incarnations in a heartbeat.
func (og peerOrigins) AddEndedNews(news []*wire.EndedUpstream) {
	og.entry.streams.AddEndedNews(news)
}

// presentOrigins returns where the streams of each pipeline may begin now and the longest time that one may last, or nothing
// before the first configuration.
func (en *Instance) presentOrigins() (map[string][]origin.Origin, time.Duration) {
	table := en.catalog.RoutingTable()
	if table == nil || !en.catalog.IsLoaded() {
		return nil, 0
	}
	present, longest := map[string][]origin.Origin{}, time.Duration(0)
	for _, pipeline := range table.Pipelines {
		if pipeline.RetryPolicy != route.Resumable {
			continue
		}
		longest = max(longest, pipeline.Timeout)
		seen := map[origin.Origin]bool{}
		for _, part := range pipeline.Pools {
			// Streams that began at an upstream in an evacuated failure domain may go on there after the evacuation.
			for _, up := range slices.Concat(en.catalog.Upstreams(part.Pool, ""), en.catalog.Evacuated(part.Pool)) {
				seen[origin.Origin{Pool: part.Pool, Version: up.SoftwareVersion}] = true
			}
		}
		for one := range seen {
			present[pipeline.Name] = append(present[pipeline.Name], one)
		}
	}
	return present, longest
}

// confirm brings the configuration and the registrations up to date with the store.
func (en *Instance) confirm(ctx context.Context) error {
	failures := make([]error, len(en.watches))
	reads := sync.WaitGroup{}
	for at, each := range en.watches {
		reads.Go(func() { failures[at] = each.Confirm(ctx) })
	}
	reads.Wait()
	return errors.Join(failures...)
}

// staleness returns how old the older one of the configuration and the registrations is.
func (en *Instance) staleness() time.Duration {
	oldest := time.Duration(0)
	for _, each := range en.watches {
		oldest = max(oldest, each.Staleness())
	}
	return oldest
}
