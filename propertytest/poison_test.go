package propertytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// crashes counts the back ends that died.
func (fl *fleet) crashes() int {
	total := 0
	for _, up := range fl.byName {
		up.mu.Lock()
		total += up.crashes
		up.mu.Unlock()
	}
	return total
}

// poisonLimit is how many upstreams one content may cost the whole fleet.
const poisonLimit = 2

// sendPoison sends the same content again and again with new ids through all instances.
func (fl *fleet) sendPoison(times int) []reply {
	replies := []reply{}
	for at := range times {
		nodes := fl.live()
		asked := draft("a poisonous plate")
		asked.body.RequestID = fmt.Sprint("poison-", at)
		replies = append(replies, fl.ask(nodes[at%len(nodes)], asked))
		time.Sleep(500 * time.Millisecond)
	}
	return replies
}

func (fl *fleet) poisonEngines() {
	each(fl.pool("engines"), func(up *fakeUpstream) { up.crashOn = "poisonous" })
}

func TestPoison(t *testing.T) {
	t.Run("sent again through all instances, it costs two upstreams at most", func(t *testing.T) {
		withFleet(t, 40, 8, func(fl *fleet) {
			fl.poisonEngines()
			replies := fl.sendPoison(40)
			must.LessEq(fl.t, poisonLimit, fl.crashes())
			last := replies[len(replies)-1]
			must.Eq(fl.t, answer.Quarantined, last.Error.Code)
			must.Eq(fl.t, answer.NotRun, last.Outcome)
		})
	})
	t.Run("while the platform is down", func(t *testing.T) {
		withFleet(t, 41, 8, func(fl *fleet) {
			fl.poisonEngines()
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.sendPoison(20)
			must.LessEq(fl.t, poisonLimit, fl.crashes())
		})
	})
	t.Run("innocent requests beside it are answered", func(t *testing.T) {
		withFleet(t, 42, 8, func(fl *fleet) {
			fl.poisonEngines()
			fl.under(func() { fl.sendPoison(20) })
			must.LessEq(fl.t, poisonLimit, fl.crashes())
			for at := range 20 {
				answered(fl.t, fmt.Sprint("load ", at), fl.ask(fl.live()[at%8], draft(fmt.Sprint("load ", at))))
			}
		})
	})
}

func TestPoisonKnown(t *testing.T) {
	t.Run("an upstream that is leaving says nothing about what it ran", func(t *testing.T) {
		withFleet(t, 43, 3, func(fl *fleet) {
			fl.poisonEngines()
			for _, up := range fl.pool("engines") {
				fl.leave(fl.live()[0], up.name)
			}
			time.Sleep(time.Second)
			replies := fl.sendPoison(5)
			must.Eq(fl.t, answer.NoUpstream, replies[4].Error.Code)
			must.Eq(fl.t, 0, fl.crashes())
		})
	})
	t.Run("an answer does not wait until the end of its trial is written", func(t *testing.T) {
		withFleet(t, 46, 3, func(fl *fleet) {
			fl.poisonEngines()
			fl.setTable(func(ft *fakeTable) { ft.slow = 600 * time.Millisecond })
			began := time.Now()
			go func() {
				fl.eventually(time.Second, "an engine crashes", func() bool { return fl.crashes() == 1 })
				each(fl.pool("engines"), func(up *fakeUpstream) { up.crashOn = "" })
			}()
			answered(fl.t, "poisonous at first", fl.ask(fl.live()[0], draft("poisonous at first")))
			// Two calls before the trial and the stages themselves, but not two more calls after it.
			must.Less(fl.t, 2*time.Second, time.Since(began))
		})
	})
	t.Run("an instance that starts later knows it", func(t *testing.T) {
		withFleet(t, 44, 3, func(fl *fleet) {
			fl.poisonEngines()
			fl.sendPoison(6)
			fresh := fl.startNode()
			time.Sleep(5 * time.Second)
			got := fl.ask(fresh, draft("a poisonous plate"))
			must.Eq(fl.t, answer.Quarantined, got.Error.Code)
			must.LessEq(fl.t, poisonLimit, fl.crashes())
		})
	})
	t.Run("the check finds a fleet whose instances can't tell each other", func(t *testing.T) {
		withFleet(t, 45, 6, func(fl *fleet) {
			fl.poisonEngines()
			for _, pair := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}} {
				fl.cutDomains(pair[0], pair[1], true)
			}
			fl.setTable(func(ft *fakeTable) { ft.down = true })
			fl.sendPoison(40)
			must.Greater(fl.t, poisonLimit, fl.crashes())
		})
	})
}

// TestPoisonFigures prints what a poison costs a fleet of eight instances and the innocents beside it.
func TestPoisonFigures(t *testing.T) {
	if !*figures {
		t.Skip("run by make capacity")
	}
	for seed := range uint64(5) {
		withFleet(t, 60+seed, 8, func(fl *fleet) {
			fl.poisonEngines()
			outcomes := map[string]int{}
			done := make(chan struct{})
			go func() {
				defer close(done)
				fl.sendPoison(40)
			}()
			for at := range 2000 {
				got := fl.ask(fl.live()[at%8], draft(fmt.Sprint("innocent ", at)))
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
