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

// depositCall is a call of the plain service.
var depositCall = upstream.Call{Kind: document.Service}

// leavingDeadline is how long after the first signal an upstream may still get new work.
const leavingDeadline = 2 * time.Second

// checkLeft returns the calls that arrived later than allowed after the signal.
func checkLeft(up *fakeUpstream, signal time.Time) []string {
	up.mu.Lock()
	defer up.mu.Unlock()
	wrong := []string{}
	for _, arrival := range up.arrivals {
		if late := arrival.Sub(signal); late > leavingDeadline {
			wrong = append(wrong, fmt.Sprintf("%s got work %v after the signal", up.name, late))
		}
	}
	return wrong
}

// load sends drafts until stop is closed, through every live instance in turn.
func (fl *fleet) load(stop <-chan struct{}) {
	for at := 0; ; at++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			nodes := fl.live()
			go fl.ask(nodes[at%len(nodes)], draft(fmt.Sprint("load ", at)))
		}
	}
}

// under runs a test while drafts keep coming.
func (fl *fleet) under(test func()) {
	stop := make(chan struct{})
	defer time.Sleep(5 * time.Second)
	defer close(stop)
	go fl.load(stop)
	time.Sleep(time.Second)
	test()
}

func (fl *fleet) leave(nd *node, name string) {
	fl.operate(nd, http.MethodPost, "/v1/upstreams/"+name+"/leave", nil, &struct{}{})
}

func TestLeaving(t *testing.T) {
	up := func(fl *fleet) *fakeUpstream { return fl.byName["engines-2"] }
	signals := map[string]func(fl *fleet){
		"an operator says so": func(fl *fleet) { fl.leave(fl.live()[4], "engines-2") },
		"the engine says so itself": func(fl *fleet) {
			up(fl).set(func(fu *fakeUpstream) { fu.leaving = true })
			time.Sleep(100 * time.Millisecond)
			up(fl).set(func(fu *fakeUpstream) { fu.leaving = false })
		},
		"an operator says so while the platform is down and the list lags": func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.listing.setLag(30 * time.Second)
			fl.listing.leave("engines-2", 1)
			fl.leave(fl.live()[1], "engines-2")
		},
		"an operator says so while messages are lost": func(fl *fleet) {
			fl.setLoss(10)
			fl.leave(fl.live()[3], "engines-2")
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 10, 8, func(fl *fleet) {
				fl.under(func() {
					began := time.Now()
					signal(fl)
					time.Sleep(3 * time.Second)
					fl.startNode()
					time.Sleep(15 * time.Second)
					must.SliceEmpty(fl.t, checkLeft(up(fl), began))
				})
			})
		})
	}
}

func TestLeavingForGood(t *testing.T) {
	up := func(fl *fleet) *fakeUpstream { return fl.byName["engines-2"] }
	t.Run("an instance that starts later and meets no peer learns it from the platform", func(t *testing.T) {
		withFleet(t, 11, 3, func(fl *fleet) {
			began := time.Now()
			fl.leave(fl.live()[0], "engines-2")
			for _, nd := range fl.all() {
				nd.kill()
			}
			fresh := fl.startNode()
			fl.eventually(10*time.Second, "the new instance is ready", func() bool { return fresh.core.Revision() > 0 })
			fl.under(func() { time.Sleep(5 * time.Second) })
			must.SliceEmpty(fl.t, checkLeft(up(fl), began))
		})
	})
	t.Run("an upstream comes back under a new incarnation only", func(t *testing.T) {
		withFleet(t, 12, 3, func(fl *fleet) {
			fl.leave(fl.live()[0], "engines-2")
			time.Sleep(time.Second)
			fl.raiseIncarnation("engines-2")
			before := up(fl).arrived()
			fl.under(func() { time.Sleep(5 * time.Second) })
			must.Greater(fl.t, before, up(fl).arrived())
		})
	})
	t.Run("the check finds a signal that reaches one failure domain only", func(t *testing.T) {
		withFleet(t, 13, 6, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.cutDomains("a", "b", true)
			fl.cutDomains("a", "c", true)
			fl.under(func() {
				began := time.Now()
				fl.leave(fl.live()[0], "engines-2")
				time.Sleep(5 * time.Second)
				must.SliceNotEmpty(fl.t, checkLeft(up(fl), began))
			})
		})
	})
}
