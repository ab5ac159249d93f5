package propertytest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// checkFences returns the orders that an engine carried out after one with a higher number.
func checkFences(up *fakeUpstream) []string {
	up.mu.Lock()
	defer up.mu.Unlock()
	wrong := []string{}
	highest := int64(0)
	for _, fence := range up.accepted {
		if fence < highest {
			wrong = append(wrong, fmt.Sprintf("%s carried out order %d after %d", up.name, fence, highest))
		}
		highest = max(highest, fence)
	}
	return wrong
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

// holding reports whether all engines hold a model.
func (fl *fleet) holding(model string) bool {
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

// wantModel has an operator change the model of all engines.
func (fl *fleet) wantModel(from, to string) {
	team := fl.text("models")
	text := strings.ReplaceAll(team.Text, "Model = "+from+"\n", "Model = "+to+"\n")
	must.Eq(fl.t, "Accepted", fl.put(fl.live()[0], "models", team.Revision, text, "model-"+to).Outcome)
}

// holder returns the node that gave the newest order, or nil.
func (fl *fleet) holder() *node {
	rows := fl.table.get(func(key string) bool { return key == "lease/orders/engines" })
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
	t.Run("engines come to hold what the document wants", func(t *testing.T) {
		withFleet(t, 30, 4, func(fl *fleet) {
			fl.eventually(2*time.Minute, "all engines are loaded", func() bool { return fl.holding("base") })
			fl.wantModel("base", "next")
			fl.eventually(2*time.Minute, "all engines are changed", func() bool { return fl.holding("next") })
		})
	})
	t.Run("a holder that is killed is followed by another with a higher number", func(t *testing.T) {
		withFleet(t, 31, 4, func(fl *fleet) {
			fl.eventually(time.Minute, "a lease is held", func() bool { return fl.holder() != nil })
			fl.holder().kill()
			fl.wantModel("base", "next")
			fl.eventually(3*time.Minute, "all engines are changed", func() bool { return fl.holding("next") })
			for _, up := range fl.pool("engines") {
				must.SliceEmpty(fl.t, checkFences(up))
			}
		})
	})
	t.Run("a holder that was frozen with an order in hand", func(t *testing.T) {
		withFleet(t, 32, 4, frozenOrders)
	})
	t.Run("answers of renewals are lost", func(t *testing.T) {
		withFleet(t, 33, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.loseAnswer = 40 })
			fl.eventually(5*time.Minute, "all engines are loaded", func() bool { return fl.holding("base") })
			for _, up := range fl.pool("engines") {
				must.SliceEmpty(fl.t, checkFences(up))
			}
		})
	})
	t.Run("the check finds an order that arrives after a newer one", func(t *testing.T) {
		must.SliceNotEmpty(t, checkFences(&fakeUpstream{accepted: []int64{1, 3, 2}}))
	})
}

// frozenOrders stops the holder between its check of the lease and the order's arrival. An engine that checks
// the number refuses the late order; one that does not carries it out, which can't be excluded, and is set
// right by the new holder.
func frozenOrders(fl *fleet) {
	fl.eventually(time.Minute, "a lease is held", func() bool { return fl.holder() != nil })
	old := fl.holder()
	fl.wantModel("base", "next")
	old.freeze()
	time.Sleep(time.Minute)
	fl.wantModel("next", "third")
	fl.eventually(3*time.Minute, "all engines are changed", func() bool { return fl.holding("third") })
	old.thaw()
	time.Sleep(10 * time.Second)
	for _, up := range fl.engines(true) {
		must.SliceEmpty(fl.t, checkFences(up))
	}
	fl.eventually(2*time.Minute, "all engines are set right", func() bool { return fl.holding("third") })
}
