package soak_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	limitHeader = "Server-Limit"
	// limitWindow is the time in which requests are counted; an upstream may get limitTolerance times what its limit allows in it,
	// and limitExtra requests more, from newsBound after the first answer that announces its limit.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
)

// upstreamLimits are the limits that some upstreams announce in their answers, in requests a second.
var upstreamLimits = map[string]string{"model-3": "2", "plain-2": "0.5", "plain-1": "12.5", "stage-2": "3"}

// limitLedger records what the upstreams with a limit received.
type limitLedger struct {
	// announced is when an upstream first announced its limit, arrivals are the requests that reached it.
	announced map[string]time.Time
	arrivals  map[string][]arrival
	// most is the largest number of requests in a window that counted, by upstream.
	most map[string]int
}

func newLimitLedger() *limitLedger {
	return &limitLedger{announced: map[string]time.Time{}, arrivals: map[string][]arrival{}, most: map[string]int{}}
}

// announceLimit sets the header with the upstream's limit, or now and then one that is no number.
func (us *upstream) announceLimit(writer http.ResponseWriter, odd bool) {
	limit, limited := upstreamLimits[us.id]
	switch {
	case !limited:
		return
	case odd:
		limit = "many"
	}
	writer.Header().Set(limitHeader, limit)
	lg := us.ledger
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.limits.announced[us.id].IsZero() {
		lg.limits.announced[us.id] = time.Now()
	}
}

// recordLimited records a caller's request that reached an upstream with a limit.
func (us *upstream) recordLimited(id string) {
	_, limited := upstreamLimits[us.id]
	instance, known := instanceOf(id)
	if !limited || !known {
		return
	}
	lg := us.ledger
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.limits.arrivals[us.id] = append(lg.limits.arrivals[us.id], arrival{at: time.Now(), instance: instance, undisturbed: lg.isUndisturbed(instance)})
}

// instanceOf returns the instance that a caller sent a request to, whose id ends with it.
func instanceOf(id string) (int, bool) {
	_, number, found := strings.Cut(strings.TrimSuffix(id, "t"), "@")
	instance, err := strconv.Atoi(number)
	return instance, found && err == nil
}

// checkLimits checks that no upstream with a limit got more requests from instances without a recent fault than it allows.
func (lg *ledger) checkLimits() []string {
	wrong := []string{}
	for id, arrivals := range lg.limits.arrivals {
		perSecond, _ := strconv.ParseFloat(upstreamLimits[id], 64)
		allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitExtra
		most := 0
		for last, end := range arrivals {
			if end.at.Add(-limitWindow).Before(lg.limits.announced[id].Add(newsBound)) {
				continue
			}
			count := 0
			for first := last; first >= 0 && end.at.Sub(arrivals[first].at) < limitWindow; first-- {
				if arrivals[first].undisturbed {
					count++
				}
			}
			most = max(most, count)
		}
		lg.limits.most[id] = most
		if float64(most) > allowed {
			wrong = append(wrong, fmt.Sprintf("upstream %s got %d requests in %v, allowed %.1f", id, most, limitWindow, allowed))
		}
	}
	return wrong
}
