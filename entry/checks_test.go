package entry_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/turmericdoor/turmericdoor/gateway"
)

// checkAnswer looks whether an outcome is true.
func (sk *soak) checkAnswer(request *gateway.Request, outcome gateway.Outcome, out *sink) {
	wd := sk.fleet.world
	wd.mu.Lock()
	ran := wd.ran[request.ID]
	wd.mu.Unlock()
	want := "whole answer to " + request.ID
	if strings.HasPrefix(request.Path, "/stream/") || strings.HasPrefix(request.Path, "/draft/") {
		want = wholeStream(request.ID)
	}
	switch outcome.(type) {
	case gateway.Answered:
		if out.body.String() != want {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s was answered %q", request.Path, out.body.String()))
		}
	case gateway.Refused, gateway.Unauthorised, gateway.NotFound:
		if ran > 0 {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s was refused and ran", request.Path))
		}
	default:
		if !strings.HasPrefix(want, out.body.String()) {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s got %q", request.Path, out.body.String()))
		}
	}
}

// checkRevisions looks whether an instance went back to an older configuration.
func (sk *soak) checkRevisions() {
	for _, nd := range sk.fleet.live() {
		table := nd.entry.Catalog().RoutingTable()
		if table == nil {
			continue
		}
		if before := nd.revision.Swap(table.Revision); before > table.Revision {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s went from revision %d to %d", nd.id, before, table.Revision))
		}
	}
}

// checkPoisons counts the upstreams that each content cost. Instances that are cut off from each other can't know
// of each other's crashes: runs in which that happened are not held to the limit.
func (sk *soak) checkPoisons(wd *world) {
	for _, body := range sk.poisons {
		crashes := 0
		for _, up := range wd.upstreams {
			crashes += up.crashedOn[body]
		}
		if crashes > poisonLimit && !sk.severed {
			sk.wrong = append(sk.wrong, fmt.Sprintf("%s cost %d upstreams", body, crashes))
		}
	}
}

// checkBudget looks at each window whether a pool got more repeated sends than the budget allows.
func (wd *world) checkBudget() []string {
	wrong := []string{}
	for pool, list := range wd.arrivals {
		slices.SortFunc(list, func(left, right arrival) int { return left.at.Compare(right.at) })
		for at := range list {
			firsts, again := 0, 0
			before := 0
			for _, each := range list {
				age := each.at.Sub(list[at].at)
				switch {
				case age >= 0 && age < budget.Window && each.again:
					again++
				case age >= 0 && age < budget.Window:
					firsts++
				case age < 0 && age >= -budget.Window && !each.again:
					before++
				}
			}
			if most := budget.Ratio*float64(max(firsts, before)) + float64(budget.Extra); float64(again) > most {
				wrong = append(wrong, fmt.Sprintf("%s got %d repeated sends where %.0f are allowed", pool, again, most))
				break
			}
		}
	}
	return wrong
}
