package entry

import (
	"time"

	"github.com/turmericdoor/turmericdoor/retryquota"
)

// Settings are what an entry instance starts from.
type Settings struct {
	Instance       string
	FailureDomain  string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string
	StoreAddress   string
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	MemoryBytes int64
	// MilliCores is what the machine gives the process, in thousandths of a processor.
	MilliCores  int64
	RetryBudget retryquota.Config
}
