package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// evacuatedRetryAfter is the delay after which a caller is asked to retry while only upstreams in evacuated failure domains could serve its
// request. It is not known when operators withdraw an evacuation.
const evacuatedRetryAfter = time.Second

// checkEvacuation refuses a request if all upstreams of its pool, or of the pool of one of its stages, are in evacuated failure domains.
func (rn *run) checkEvacuation() Outcome {
	if rn.isEvacuated() {
		return rn.refuseEvacuated(rn.pool.Name)
	}
	for _, index := range rn.activeStages() {
		if pool := rn.pipeline.Stages[index].Pool; rn.Catalog.IsPoolEvacuated(pool) {
			return rn.refuseEvacuated(pool)
		}
	}
	return nil
}

// refuseEvacuated refuses a request because all upstreams of a pool that could serve it are in evacuated failure domains.
func (rn *run) refuseEvacuated(pool string) Outcome {
	domains := []string{}
	for _, up := range rn.Catalog.Evacuated(pool) {
		if !slices.Contains(domains, up.FailureDomain) {
			domains = append(domains, up.FailureDomain)
		}
	}
	slices.Sort(domains)
	detail := fmt.Sprintf("pool=%s domains=%s", pool, domains)
	if rn.origin != nil && pool == rn.origin.Pool {
		detail += " version=" + rn.origin.Version
	}
	return rn.refuse(evacuatedRetryAfter, Evacuated, detail)
}

// isEvacuated reports whether all upstreams that could serve the request, or continue its stream, are in evacuated failure domains.
func (rn *run) isEvacuated() bool {
	if rn.origin == nil {
		return rn.Catalog.IsPoolEvacuated(rn.pool.Name)
	}
	return !rn.hasOriginLeft() && slices.ContainsFunc(rn.Catalog.Evacuated(rn.origin.Pool), rn.canContinue)
}

// canContinue reports whether an upstream can continue the stream of a bound request.
func (rn *run) canContinue(up *roster.Upstream) bool {
	return up.SoftwareVersion == rn.origin.Version && !rn.Streams.IsEnded(up.Incarnation())
}
