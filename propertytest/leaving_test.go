package propertytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// depositCall is a call to a plain service.
var depositCall = upstream.Call{Kind: document.Service}

// leavingDeadline is how long an upstream may still get new calls after it was first marked as leaving.
const leavingDeadline = 2 * time.Second

// checkArrivals returns a violation for each call that arrived more than leavingDeadline after the signal.
func checkArrivals(up *fakeUpstream, signal time.Time) []string {
	up.mu.Lock()
	defer up.mu.Unlock()
	violations := []string{}
	for _, arrival := range up.arrivals {
		if late := arrival.Sub(signal); late > leavingDeadline {
			violations = append(violations, fmt.Sprintf("%s got a call %v after it was marked as leaving", up.name, late))
		}
	}
	return violations
}

// sendLoad sends drafts to the live instances in rotation until stop is closed.
func (fl *fleet) sendLoad(stop <-chan struct{}) {
	for at := 0; ; at++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			nodes := fl.live()
			go fl.send(nodes[at%len(nodes)], draftRequest(fmt.Sprint("load ", at)))
		}
	}
}

// withLoad runs a test while drafts are sent.
func (fl *fleet) withLoad(test func()) {
	stop := make(chan struct{})
	defer time.Sleep(5 * time.Second)
	defer close(stop)
	go fl.sendLoad(stop)
	time.Sleep(time.Second)
	test()
}

func (fl *fleet) markLeaving(nd *node, name string) {
	fl.callOperatorAPI(nd, http.MethodPost, "/v1/upstreams/"+name+"/leave", nil, &struct{}{})
}

func TestLeaving(t *testing.T) {
	up := func(fl *fleet) *fakeUpstream { return fl.byName["engines-2"] }
	signals := map[string]func(fl *fleet){
		"an operator marks it": func(fl *fleet) { fl.markLeaving(fl.live()[4], "engines-2") },
		"the engine reports it": func(fl *fleet) {
			up(fl).set(func(fu *fakeUpstream) { fu.leaving = true })
			time.Sleep(100 * time.Millisecond)
			up(fl).set(func(fu *fakeUpstream) { fu.leaving = false })
		},
		"an operator marks it while the platform is down and the instance list lags": func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.listing.setLag(30 * time.Second)
			fl.listing.addLeaving("engines-2", 1)
			fl.markLeaving(fl.live()[1], "engines-2")
		},
		"an operator marks it while messages are lost": func(fl *fleet) {
			fl.setLoss(10)
			fl.markLeaving(fl.live()[3], "engines-2")
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 10, 8, func(fl *fleet) {
				fl.withLoad(func() {
					began := time.Now()
					signal(fl)
					time.Sleep(3 * time.Second)
					fl.startNode()
					time.Sleep(15 * time.Second)
					must.SliceEmpty(fl.t, checkArrivals(up(fl), began))
				})
			})
		})
	}
}

func TestLeavingForGood(t *testing.T) {
	up := func(fl *fleet) *fakeUpstream { return fl.byName["engines-2"] }
	t.Run("an instance that starts later without peers learns it from the platform", func(t *testing.T) {
		withFleet(t, 11, 3, func(fl *fleet) {
			began := time.Now()
			fl.markLeaving(fl.live()[0], "engines-2")
			for _, nd := range fl.all() {
				nd.kill()
			}
			fresh := fl.startNode()
			fl.eventually(10*time.Second, "the new instance is ready", func() bool { return fresh.core.Revision() > 0 })
			fl.withLoad(func() { time.Sleep(5 * time.Second) })
			must.SliceEmpty(fl.t, checkArrivals(up(fl), began))
		})
	})
	t.Run("an upstream is used again under a new incarnation", func(t *testing.T) {
		withFleet(t, 12, 3, func(fl *fleet) {
			fl.markLeaving(fl.live()[0], "engines-2")
			time.Sleep(time.Second)
			fl.raiseIncarnation("engines-2")
			before := up(fl).arrivalCount()
			fl.withLoad(func() { time.Sleep(5 * time.Second) })
			must.Greater(fl.t, before, up(fl).arrivalCount())
		})
	})
	t.Run("the check finds a signal that reaches one failure domain only", func(t *testing.T) {
		withFleet(t, 13, 6, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.cutDomains("a", "b", true)
			fl.cutDomains("a", "c", true)
			fl.withLoad(func() {
				began := time.Now()
				fl.markLeaving(fl.live()[0], "engines-2")
				time.Sleep(5 * time.Second)
				must.SliceNotEmpty(fl.t, checkArrivals(up(fl), began))
			})
		})
	})
}
