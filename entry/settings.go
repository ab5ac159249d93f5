package entry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/retryquota"
)

// Settings configures an entry instance at its start.
type Settings struct {
	Instance       string
	FailureDomain  string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string
	StoreAddress   string
	// GracePeriod is the time between the stop signal and the end of the process.
	GracePeriod time.Duration
	// ChangeBound is the time after the store's acknowledgement within which a change must be in force, or 0 for the default.
	ChangeBound time.Duration
	// IsFirstStart is set while the whole fleet starts for the first time.
	IsFirstStart bool
	// LimitsCold is set if the requests to cold upstreams are limited to the rate of their pool.
	LimitsCold  bool
	MemoryBytes int64
	// Callers bounds what all callers may hold together; the zero value stands for no limits.
	Callers memorybudget.Limits
	// MilliCores is the processor time available to the process, in thousandths of a core.
	MilliCores  int64
	RetryBudget retryquota.Config
}
