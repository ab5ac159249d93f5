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

// measureAnswered sends drafts for a while and returns how many were sent and how many were answered.
func (fl *fleet) measureAnswered(length time.Duration) (sent, answered int) {
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		nodes := fl.live()
		sent++
		group.Go(func() {
			if fl.send(nodes[sent%len(nodes)], draftRequest(fmt.Sprint("outage ", sent))).Outcome == answer.Answered {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	group.Wait()
	return sent, answered
}

func TestPlatformOutage(t *testing.T) {
	outages := map[string]func(ft *fakeTable){
		"down":                        func(ft *fakeTable) { ft.down = true },
		"each call takes ten seconds": func(ft *fakeTable) { ft.slow = 10 * time.Second },
	}
	for name, outage := range outages {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 60, 4, func(fl *fleet) {
				sentBefore, answeredBefore := fl.measureAnswered(20 * time.Second)
				fl.setTable(outage)
				goroutines := runtime.NumGoroutine()
				sentDuring, answeredDuring := fl.measureAnswered(20 * time.Second)
				must.Eq(fl.t, sentBefore, answeredBefore)
				must.Eq(fl.t, sentDuring, answeredDuring)
				fl.depositDuringOutage()
				time.Sleep(10 * time.Minute)
				must.LessEq(fl.t, 2*goroutines, runtime.NumGoroutine())
				fl.checkRecovery()
			})
		})
	}
}

// depositDuringOutage sends deposits that can't be claimed and checks that none ran or was answered.
func (fl *fleet) depositDuringOutage() {
	lg := newLedger(fl)
	for at := range 50 {
		lg.sendDeposit(fl.live()[at%4], fmt.Sprint("outage ", at))
	}
	must.Eq(fl.t, 0, lg.countOutcome(answer.Answered))
	must.SliceEmpty(fl.t, lg.check())
}

// maxReadsPerInstance is the number of reads that each instance may make in the first second after an outage.
const maxReadsPerInstance = 8

// checkRecovery ends the outage and checks the number of reads in the first second, and that deposits run again.
func (fl *fleet) checkRecovery() {
	fl.setTable(func(ft *fakeTable) { ft.down, ft.slow, ft.reads = false, 0, 0 })
	time.Sleep(time.Second)
	fl.setTable(func(ft *fakeTable) { must.LessEq(fl.t, maxReadsPerInstance*4, ft.reads) })
	fl.eventually(2*time.Minute, "deposits run again", func() bool {
		return fl.send(fl.live()[0], depositRequest(fmt.Sprint("back ", time.Now()), "back")).Outcome == answer.Answered
	})
}

// TestPlatformSeenBack checks that an instance reports the platform as up after any call that succeeds, and not only
// after its next poll, which may be half a minute later.
func TestPlatformSeenBack(t *testing.T) {
	withFleet(t, 61, 1, func(fl *fleet) {
		up := func() bool {
			status := operator.Status{}
			fl.callOperatorAPI(fl.live()[0], http.MethodGet, "/v1/status", nil, &status)
			return status.PlatformUp
		}
		fl.setTable(func(ft *fakeTable) { ft.down = true })
		fl.eventually(time.Minute, "the platform is reported down", func() bool { return !up() })
		time.Sleep(5 * time.Minute)
		fl.setTable(func(ft *fakeTable) { ft.down = false })
		must.Eq(fl.t, answer.Answered, fl.send(fl.live()[0], depositRequest("seen", "seen")).Outcome)
		must.True(fl.t, up())
	})
}
