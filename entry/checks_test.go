package entry_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// checkAnswer checks that an outcome matches what the upstreams did with the request.
func (sk *soak) checkAnswer(request *gateway.Request, outcome gateway.Outcome, out *sink) {
	us := sk.fleet.upstreams
	us.mu.Lock()
	ran := us.executions[request.ID]
	us.mu.Unlock()
	want := "whole answer to " + request.ID
	if strings.HasPrefix(request.Path, "/stream/") || strings.HasPrefix(request.Path, "/draft/") {
		want = completeStream(request.ID)
	}
	sk.checkHead(request, outcome, out)
	switch outcome.(type) {
	case gateway.Answered:
		if out.body.String() != want {
			sk.violations = append(sk.violations, fmt.Sprintf("%s returned body %q", request.Path, out.body.String()))
		}
	case gateway.Refused, gateway.Unauthorised, gateway.NotFound:
		if ran > 0 {
			sk.violations = append(sk.violations, fmt.Sprintf("%s was refused but ran", request.Path))
		}
	default:
		if !strings.HasPrefix(want, out.body.String()) {
			sk.violations = append(sk.violations, fmt.Sprintf("%s returned partial body %q", request.Path, out.body.String()))
		}
	}
}

// checkHead checks that a response has one head if it is answered or cut off, at most one if its caller left, and none
// otherwise.
func (sk *soak) checkHead(request *gateway.Request, outcome gateway.Outcome, out *sink) {
	least, most := 0, 0
	switch outcome.(type) {
	case gateway.Answered, gateway.CutOff:
		least, most = 1, 1
	case gateway.Gone:
		most = 1
	}
	if out.heads < least || out.heads > most {
		sk.violations = append(sk.violations, fmt.Sprintf("%s ended %s with %d heads", request.Path, gateway.OutcomeName(outcome), out.heads))
	}
}

// checkRevisions checks that no instance returned to an older configuration.
func (sk *soak) checkRevisions() {
	for _, nd := range sk.fleet.live() {
		table := nd.entry.Catalog().RoutingTable()
		if table == nil {
			continue
		}
		if before := nd.revision.Swap(table.Revision); before > table.Revision {
			sk.violations = append(sk.violations, fmt.Sprintf("%s went from revision %d to %d", nd.id, before, table.Revision))
		}
	}
}

// checkPoisons checks the number of upstreams that each poison body crashed. Instances in different partitions can't
// learn of each other's crashes, so the limit doesn't apply to runs with a partition.
func (sk *soak) checkPoisons(us *upstreamSet) {
	for _, body := range sk.poisonBodies {
		crashes := 0
		for _, up := range us.byID {
			crashes += up.crashedOn[body]
		}
		if crashes > maxPoisonCrashes && !sk.partitioned {
			sk.violations = append(sk.violations, fmt.Sprintf("%s crashed %d upstreams", body, crashes))
		}
	}
}

// checkBudget checks in each window that a pool received no more retries than the retry budget allows. The budget grows with
// the requests that callers sent for a pool, whether they reached it or not.
func (us *upstreamSet) checkBudget() []string {
	wrong := []string{}
	for pool, list := range us.arrivals {
		slices.SortFunc(list, func(left, right arrival) int { return left.at.Compare(right.at) })
		for at := range list {
			firsts, again := 0, 0
			before := 0
			for _, each := range list {
				age := each.at.Sub(list[at].at)
				switch {
				case age >= 0 && age < budget.Window && each.repeated:
					again++
				case age >= 0 && age < budget.Window:
					firsts++
				case age < 0 && age >= -budget.Window && !each.repeated:
					before++
				}
			}
			base := max(firsts, before, us.sentWithin(pool, list[at].at), us.sentWithin(pool, list[at].at.Add(-budget.Window)))
			if most := budget.Ratio*float64(base) + float64(budget.Extra); float64(again) > most {
				wrong = append(wrong, fmt.Sprintf("pool %s received %d retries in a window; the budget allows %.2f for %d requests", pool, again, most, base))
				break
			}
		}
	}
	return wrong
}

// sentWithin returns how many requests callers with a valid key sent for a pool in the window that begins at a time.
func (us *upstreamSet) sentWithin(pool string, from time.Time) int {
	count := 0
	for _, at := range us.sentAt[pool] {
		if age := at.Sub(from); age >= 0 && age < budget.Window {
			count++
		}
	}
	return count
}

// recordSent records a request of a caller with a valid key for the pool of its pipeline.
func (us *upstreamSet) recordSent(request *gateway.Request) {
	us.mu.Lock()
	defer us.mu.Unlock()
	pool := "plain"
	if strings.HasPrefix(request.Path, "/stream/") || strings.HasPrefix(request.Path, "/draft/") {
		pool = "model"
	}
	us.sentAt[pool] = append(us.sentAt[pool], request.Arrived)
}
