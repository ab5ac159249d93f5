package soak_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	leavingHeader = "Server-Leaving"
	// drainBound is how long an upstream may receive requests of an instance that has passed on its word that it is leaving.
	drainBound = 2 * time.Second
	// leavingTime is how long an upstream says so before it ends, longestPause how long one wants no requests at most.
	leavingTime  = 6 * time.Second
	longestPause = 2 * time.Second
)

// standingUpstreams are the upstreams that leave and pause without a change of their registration.
var standingUpstreams = []string{"model-0", "plain-0", "stage-1"}

// toldKey is an instance and the incarnation of an upstream of which it has passed on that it is leaving.
type toldKey struct {
	instance int
	upstream string
	born     int64
}

// changeStanding makes an upstream say that it is leaving and end some seconds later, or want a pause.
func (fl *fleet) changeStanding() {
	us := fl.upstreams[standingUpstreams[fl.random.IntN(len(standingUpstreams))]]
	if fl.random.IntN(2) == 0 {
		us.pauseUntil.Store(time.Now().Add(time.Duration(fl.random.Int64N(int64(longestPause)))).UnixNano())
		return
	}
	us.leave()
}

// leave makes an upstream say that it is leaving, and end some seconds later.
func (us *upstream) leave() {
	if us.leaving.Swap(true) {
		return
	}
	time.AfterFunc(leavingTime, func() {
		us.born.Add(1)
		us.leaving.Store(false)
		us.crash()
	})
}

// say adds to an answer what the upstream says of itself. It returns true if the upstream turns the request away.
func (us *upstream) say(writer http.ResponseWriter) bool {
	if us.leaving.Load() {
		writer.Header().Set(leavingHeader, "1")
		writer.Header().Set(bornHeader, strconv.FormatInt(us.born.Load(), 10))
	}
	left := time.Until(time.Unix(0, us.pauseUntil.Load()))
	if left <= 0 {
		return false
	}
	writer.Header().Set("Turmericdoor-Not-Executed", "1")
	writer.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// bornHeader names the incarnation of the upstream that says that it is leaving.
const bornHeader = "Soak-Born"

// recordTold records that an instance has passed on an answer whose upstream says that it is leaving.
func (lg *ledger) recordTold(instance int, header http.Header) {
	if header.Get(leavingHeader) == "" {
		return
	}
	upstream, _, _ := strings.Cut(header.Get("Turmericdoor-Response-Seal"), ".")
	born, _ := strconv.ParseInt(header.Get(bornHeader), 10, 64)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	key := toldKey{instance, upstream, born}
	if lg.told[key].IsZero() {
		lg.told[key] = time.Now()
	}
}

// checkStanding checks that a request that reached an upstream does not come from an instance that had passed on that the upstream
// is leaving. A fault of the instance's process since then excuses it.
func (us *upstream) checkStanding(id string) {
	instance, known := instanceOf(id)
	if !known {
		return
	}
	lg, now := us.ledger, time.Now()
	lg.mu.Lock()
	told := lg.told[toldKey{instance, us.id, us.born.Load()}]
	late := !told.IsZero() && now.Sub(told) > drainBound && lg.lastFault(instance).Before(told)
	if !told.IsZero() {
		lg.toldArrivals++
	}
	lg.mu.Unlock()
	if late {
		lg.violation("a request reached a leaving upstream: %s", fmt.Sprintf("%s %s, %v after it was told", id, us.id, now.Sub(told)))
	}
}
