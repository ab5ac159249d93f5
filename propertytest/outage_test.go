package propertytest

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/operator"
)

// attained sends drafts for a while and returns how many were asked and answered in time.
func (fl *fleet) attained(length time.Duration) (asked, whole int) {
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		nodes := fl.live()
		asked++
		group.Go(func() {
			if fl.ask(nodes[asked%len(nodes)], draft(fmt.Sprint("outage ", asked))).Outcome == answer.Answered {
				mu.Lock()
				defer mu.Unlock()
				whole++
			}
		})
	}
	group.Wait()
	return asked, whole
}

func TestPlatformOutage(t *testing.T) {
	outages := map[string]func(ft *fakeTable){
		"down":                        func(ft *fakeTable) { ft.down = true },
		"each call takes ten seconds": func(ft *fakeTable) { ft.slow = 10 * time.Second },
	}
	for name, outage := range outages {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 60, 4, func(fl *fleet) {
				before, wholeBefore := fl.attained(20 * time.Second)
				fl.setTable(outage)
				goroutines := runtime.NumGoroutine()
				during, wholeDuring := fl.attained(20 * time.Second)
				must.Eq(fl.t, before, wholeBefore)
				must.Eq(fl.t, during, wholeDuring)
				fl.depositDuringOutage()
				time.Sleep(10 * time.Minute)
				must.LessEq(fl.t, 2*goroutines, runtime.NumGoroutine())
				fl.checkReturn()
			})
		})
	}
}

// depositDuringOutage sends deposits that can't be claimed: none runs, and all are refused by their deadlines.
func (fl *fleet) depositDuringOutage() {
	lg := newLedger(fl)
	for at := range 50 {
		lg.send(fl.live()[at%4], fmt.Sprint("outage ", at))
	}
	must.Eq(fl.t, 0, lg.count(answer.Answered))
	must.SliceEmpty(fl.t, lg.check())
}

// readsPerInstance is how many reads each instance may make in the first second after an outage.
const readsPerInstance = 8

// checkReturn looks at the calls that reach the platform in the second after it comes back.
func (fl *fleet) checkReturn() {
	fl.setTable(func(ft *fakeTable) { ft.down, ft.slow, ft.reads = false, 0, 0 })
	time.Sleep(time.Second)
	fl.setTable(func(ft *fakeTable) { must.LessEq(fl.t, readsPerInstance*4, ft.reads) })
	fl.eventually(2*time.Minute, "deposits run again", func() bool {
		return fl.ask(fl.live()[0], deposit(fmt.Sprint("back ", time.Now()), "back")).Outcome == answer.Answered
	})
}

// TestPlatformSeenBack looks whether an instance sees the platform by any call that it answers, and not only
// by its next look, which may be half a minute away.
func TestPlatformSeenBack(t *testing.T) {
	withFleet(t, 61, 1, func(fl *fleet) {
		up := func() bool {
			status := operator.Status{}
			fl.operate(fl.live()[0], http.MethodGet, "/v1/status", nil, &status)
			return status.PlatformUp
		}
		fl.setTable(func(ft *fakeTable) { ft.down = true })
		fl.eventually(time.Minute, "the platform is seen down", func() bool { return !up() })
		time.Sleep(5 * time.Minute)
		fl.setTable(func(ft *fakeTable) { ft.down = false })
		must.Eq(fl.t, answer.Answered, fl.ask(fl.live()[0], deposit("seen", "seen")).Outcome)
		must.True(fl.t, up())
	})
}
