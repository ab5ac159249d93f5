package entry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/memoryguard"
)

const (
	// defaultHeadTimeout bounds the time to read the head of a request, defaultIdleTimeout the time between two requests, until a configuration
	// sets them.
	defaultHeadTimeout = 20 * time.Second
	defaultIdleTimeout = 90 * time.Second
	// defaultMaxBodyBytes is the limit of a request body until a configuration sets one.
	defaultMaxBodyBytes = 4 << 20
)

// NewGuard returns a guard that uses the timers of the instance and records its events there.
func (en *Instance) NewGuard(limits memorybudget.Limits, caller func() memorybudget.CallerLimits) *memoryguard.Guard {
	return memoryguard.New(memoryguard.Parts{Limits: limits, Caller: caller, Timers: en.timers, Events: en.events})
}

// newCallerGuard returns the guard of callers' connections and bodies; without limits in the settings, it has none.
func (en *Instance) newCallerGuard() *memoryguard.Guard {
	limits := en.settings.Callers
	if limits == (memorybudget.Limits{}) {
		limits = memorybudget.LimitsOf(0, 0)
	}
	return en.NewGuard(limits, en.callerLimits)
}

// callerLimits returns the limits of a single caller in force.
func (en *Instance) callerLimits() memorybudget.CallerLimits {
	limits := memorybudget.CallerLimits{BodyBytes: en.MaxBodyBytes(), HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
	table := en.catalog.RoutingTable()
	if table == nil {
		return limits
	}
	limits.HeadBytes = int64(table.Limits.HeaderBytes)
	if table.Limits.HeaderTimeout > 0 {
		limits.HeadTimeout = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = table.Limits.IdleTimeout
	}
	return limits
}

// CallerGuard returns the guard of callers' connections and bodies.
func (en *Instance) CallerGuard() *memoryguard.Guard {
	return en.guard
}

// MaxBodyBytes returns the limit of a request body.
func (en *Instance) MaxBodyBytes() int64 {
	if table := en.catalog.RoutingTable(); table != nil && table.Limits.BodyBytes > 0 {
		return table.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// CheckHead checks the route and the API key of a request before its body is read. It returns nil, or the outcome that rejects the request, which
// it has recorded.
func (en *Instance) CheckHead(decoded *gateway.Request) (gateway.CheckedHead, gateway.Outcome) {
	return en.gateway.CheckHead(decoded)
}

func (en *Instance) registerMemoryGauges() {
	gauge := func(name string, value func(memorybudget.Usage) float64) {
		en.metrics.RegisterGauge(name, func() float64 { return value(en.guard.Usage()) })
	}
	gauge("callers_connections", func(usage memorybudget.Usage) float64 { return float64(usage.Connections) })
	gauge(`callers_bytes{kind="heads"}`, func(usage memorybudget.Usage) float64 { return float64(usage.HeadBytes) })
	gauge(`callers_bytes{kind="bodies"}`, func(usage memorybudget.Usage) float64 { return float64(usage.BodyBytes) })
	gauge("callers_bodies_waiting", func(usage memorybudget.Usage) float64 { return float64(usage.WaitingBodies) })
}
