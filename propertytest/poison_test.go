package propertytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// crashes returns the number of upstream crashes.
func (fl *fleet) crashes() int {
	total := 0
	for _, up := range fl.byName {
		up.mu.Lock()
		total += up.crashes
		up.mu.Unlock()
	}
	return total
}

// maxPoisonCrashes is the number of upstreams that one content may crash in the whole fleet.
const maxPoisonCrashes = 2

// sendPoison sends the same content repeatedly with new request ids, to the instances in rotation.
func (fl *fleet) sendPoison(times int) []reply {
	replies := []reply{}
	for at := range times {
		nodes := fl.live()
		req := draftRequest("a poisonous plate")
		req.body.RequestID = fmt.Sprint("poison-", at)
		replies = append(replies, fl.send(nodes[at%len(nodes)], req))
		time.Sleep(500 * time.Millisecond)
	}
	return replies
}

func (fl *fleet) crashOnPoison() {
	updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.crashOn = "poisonous" })
}

func TestPoison(t *testing.T) {
	t.Run("sent through all instances, it crashes at most two upstreams", func(t *testing.T) {
		withFleet(t, 40, 8, func(fl *fleet) {
			fl.crashOnPoison()
			replies := fl.sendPoison(40)
			must.LessEq(fl.t, maxPoisonCrashes, fl.crashes())
			last := replies[len(replies)-1]
			must.Eq(fl.t, answer.Quarantined, last.Error.Code)
			must.Eq(fl.t, answer.NotRun, last.Outcome)
		})
	})
	t.Run("while the platform is down", func(t *testing.T) {
		withFleet(t, 41, 8, func(fl *fleet) {
			fl.crashOnPoison()
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.sendPoison(20)
			must.LessEq(fl.t, maxPoisonCrashes, fl.crashes())
		})
	})
	t.Run("other requests are answered", func(t *testing.T) {
		withFleet(t, 42, 8, func(fl *fleet) {
			fl.crashOnPoison()
			fl.withLoad(func() { fl.sendPoison(20) })
			must.LessEq(fl.t, maxPoisonCrashes, fl.crashes())
			for at := range 20 {
				requireAnswered(fl.t, fmt.Sprint("load ", at), fl.send(fl.live()[at%8], draftRequest(fmt.Sprint("load ", at))))
			}
		})
	})
}

func TestPoisonKnown(t *testing.T) {
	t.Run("requests that leaving upstreams refuse are not quarantined", func(t *testing.T) {
		withFleet(t, 43, 3, func(fl *fleet) {
			fl.crashOnPoison()
			for _, up := range fl.pool("engines") {
				fl.markLeaving(fl.live()[0], up.name)
			}
			time.Sleep(time.Second)
			replies := fl.sendPoison(5)
			must.Eq(fl.t, answer.NoUpstream, replies[4].Error.Code)
			must.Eq(fl.t, 0, fl.crashes())
		})
	})
	t.Run("an answer does not wait for the write that ends its trial", func(t *testing.T) {
		withFleet(t, 46, 3, func(fl *fleet) {
			fl.crashOnPoison()
			fl.setTable(func(ft *fakeTable) { ft.slow = 600 * time.Millisecond })
			began := time.Now()
			go func() {
				fl.eventually(time.Second, "an engine crashes", func() bool { return fl.crashes() == 1 })
				updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.crashOn = "" })
			}()
			requireAnswered(fl.t, "poisonous at first", fl.send(fl.live()[0], draftRequest("poisonous at first")))
			// This allows two table calls before the trial and the stages, but not two more calls after it.
			must.Less(fl.t, 2*time.Second, time.Since(began))
		})
	})
	t.Run("an instance that starts later refuses it", func(t *testing.T) {
		withFleet(t, 44, 3, func(fl *fleet) {
			fl.crashOnPoison()
			fl.sendPoison(6)
			fresh := fl.startNode()
			time.Sleep(5 * time.Second)
			got := fl.send(fresh, draftRequest("a poisonous plate"))
			must.Eq(fl.t, answer.Quarantined, got.Error.Code)
			must.LessEq(fl.t, maxPoisonCrashes, fl.crashes())
		})
	})
	t.Run("the check finds instances that can't exchange crash reports", func(t *testing.T) {
		withFleet(t, 45, 6, func(fl *fleet) {
			fl.crashOnPoison()
			for _, pair := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}} {
				fl.cutDomains(pair[0], pair[1], true)
			}
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.sendPoison(40)
			must.Greater(fl.t, maxPoisonCrashes, fl.crashes())
		})
	})
}

// TestPoisonFigures prints the number of engines that a poison crashes in a fleet of eight instances, and the outcomes of
// the other requests meanwhile.
func TestPoisonFigures(t *testing.T) {
	if !*figures {
		t.Skip("run by make capacity")
	}
	for seed := range uint64(5) {
		withFleet(t, 60+seed, 8, func(fl *fleet) {
			fl.crashOnPoison()
			outcomes := map[string]int{}
			done := make(chan struct{})
			go func() {
				defer close(done)
				fl.sendPoison(40)
			}()
			for at := range 2000 {
				got := fl.send(fl.live()[at%8], draftRequest(fmt.Sprint("innocent ", at)))
				code := string(got.Outcome)
				if got.Error != nil {
					code += " " + string(got.Error.Code)
				}
				outcomes[code]++
			}
			<-done
			t.Logf("seed %d poison sent 40 times through 8 instances: %d engines lost; innocents %v", 60+seed, fl.crashes(), outcomes)
		})
	}
}
