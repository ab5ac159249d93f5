package soak_test

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	brittleHeader = "Server-Brittle"
	// brittleUpstream has room for brittleRoom requests at a time, and ends when it has to reject more than brittleRejections of them in a
	// second, which its header says.
	brittleUpstream   = "model-1"
	brittleRoom       = 2
	brittleRejections = 3
	brittleText       = "3"
	// maxFalls is how often it may end in a run.
	maxFalls = 2
)

// brittle is the state of the brittle upstream; the ledger's lock guards all but running.
type brittle struct {
	running  atomic.Int64
	rejected []time.Time
	falls    int
	most     int
}

// takePlace lets a request run at the brittle upstream and returns the function to call at its end, or nil if it was rejected. Rejections count
// from newsBound after the beginning of the run, of requests of instances without a recent fault.
func (us *upstream) takePlace(writer http.ResponseWriter, id string) func() {
	if us.id != brittleUpstream {
		return func() {}
	}
	writer.Header().Set(brittleHeader, brittleText)
	lg := us.ledger
	if lg.brittle.running.Add(1) <= brittleRoom {
		return func() { lg.brittle.running.Add(-1) }
	}
	lg.brittle.running.Add(-1)
	writer.Header().Set("Turmericdoor-Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
	instance, known := instanceOf(id)
	if known && time.Since(lg.began) > newsBound && lg.isUndisturbed(instance) && lg.rejects() {
		us.born.Add(1)
		us.crash()
	}
	return nil
}

// rejects records a rejection, and reports whether the upstream falls over.
func (lg *ledger) rejects() bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	now, recent := time.Now(), []time.Time{}
	for _, at := range append(lg.brittle.rejected, now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	lg.brittle.rejected = recent
	lg.brittle.most = max(lg.brittle.most, len(recent))
	if len(recent) <= brittleRejections {
		return false
	}
	lg.brittle.rejected = nil
	lg.brittle.falls++
	return true
}

// checkFalls checks how often the brittle upstream fell over.
func (lg *ledger) checkFalls() {
	if lg.brittle.falls > maxFalls {
		lg.violation("the brittle upstream fell over %d times", lg.brittle.falls)
	}
}
