package propertytest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// checkFencingTokens returns a violation for each order that an engine carried out after one with a higher token.
func checkFencingTokens(up *fakeUpstream) []string {
	up.mu.Lock()
	defer up.mu.Unlock()
	violations := []string{}
	highest := int64(0)
	for _, fencingToken := range up.accepted {
		if fencingToken < highest {
			violations = append(violations, fmt.Sprintf("%s carried out an order with token %d after token %d", up.name, fencingToken, highest))
		}
		highest = max(highest, fencingToken)
	}
	return violations
}

func (fl *fleet) engines(checksFence bool) []*fakeUpstream {
	list := []*fakeUpstream{}
	for _, up := range fl.pool("engines") {
		if up.checksFence == checksFence {
			list = append(list, up)
		}
	}
	return list
}

// allLoaded reports whether all engines have loaded a model.
func (fl *fleet) allLoaded(model string) bool {
	for _, up := range fl.pool("engines") {
		up.mu.Lock()
		holds := up.state.Model == model
		up.mu.Unlock()
		if !holds {
			return false
		}
	}
	return true
}

// changeModel edits the document so that all engines change their model.
func (fl *fleet) changeModel(from, to string) {
	team := fl.teamText("models")
	text := strings.ReplaceAll(team.Text, "Model = "+from+"\n", "Model = "+to+"\n")
	must.Eq(fl.t, "Accepted", fl.putTeam(fl.live()[0], "models", team.Revision, text, "model-"+to).Outcome)
}

// leaseHolder returns the node named in the row of the engines' lease, or nil if there is none.
func (fl *fleet) leaseHolder() *node {
	rows := fl.table.findRows(func(key string) bool { return key == "lease/orders/engines" })
	if len(rows) == 0 {
		return nil
	}
	for _, nd := range fl.all() {
		if strings.Contains(string(rows[0].Value), fmt.Sprintf("%q", nd.id)) {
			return nd
		}
	}
	return nil
}

func TestOrders(t *testing.T) {
	t.Run("engines load the models of the document", func(t *testing.T) {
		withFleet(t, 30, 4, func(fl *fleet) {
			fl.eventually(2*time.Minute, "all engines are loaded", func() bool { return fl.allLoaded("base") })
			fl.changeModel("base", "next")
			fl.eventually(2*time.Minute, "all engines are changed", func() bool { return fl.allLoaded("next") })
		})
	})
	t.Run("after the holder is killed another instance takes the lease with a higher token", func(t *testing.T) {
		withFleet(t, 31, 4, func(fl *fleet) {
			fl.eventually(time.Minute, "a lease is held", func() bool { return fl.leaseHolder() != nil })
			fl.leaseHolder().kill()
			fl.changeModel("base", "next")
			fl.eventually(3*time.Minute, "all engines are changed", func() bool { return fl.allLoaded("next") })
			for _, up := range fl.pool("engines") {
				must.SliceEmpty(fl.t, checkFencingTokens(up))
			}
		})
	})
	t.Run("the holder is frozen before its order arrives", func(t *testing.T) {
		withFleet(t, 32, 4, runFrozenHolder)
	})
	t.Run("responses to renewals are lost", func(t *testing.T) {
		withFleet(t, 33, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.lostResponsePercent = 40 })
			fl.eventually(5*time.Minute, "all engines are loaded", func() bool { return fl.allLoaded("base") })
			for _, up := range fl.pool("engines") {
				must.SliceEmpty(fl.t, checkFencingTokens(up))
			}
		})
	})
	t.Run("the check finds an order that arrives after a newer one", func(t *testing.T) {
		must.SliceNotEmpty(t, checkFencingTokens(&fakeUpstream{accepted: []int64{1, 3, 2}}))
	})
}

// runFrozenHolder freezes the holder between its check of the lease and the arrival of its order. An engine that checks
// fencing tokens refuses the late order. An engine that does not check them carries it out, which the protocol can't
// prevent, and the new holder corrects it.
func runFrozenHolder(fl *fleet) {
	fl.eventually(time.Minute, "a lease is held", func() bool { return fl.leaseHolder() != nil })
	old := fl.leaseHolder()
	fl.changeModel("base", "next")
	old.freeze()
	time.Sleep(time.Minute)
	fl.changeModel("next", "third")
	fl.eventually(3*time.Minute, "all engines are changed", func() bool { return fl.allLoaded("third") })
	old.thaw()
	time.Sleep(10 * time.Second)
	for _, up := range fl.engines(true) {
		must.SliceEmpty(fl.t, checkFencingTokens(up))
	}
	fl.eventually(2*time.Minute, "all engines are corrected", func() bool { return fl.allLoaded("third") })
}
