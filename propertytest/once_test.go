package propertytest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// ledger remembers what callers were told about each deposit.
type ledger struct {
	fl   *fleet
	mu   sync.Mutex
	told map[string][]answer.Outcome
}

func newLedger(fl *fleet) *ledger {
	return &ledger{fl: fl, told: map[string][]answer.Outcome{}}
}

// send asks a node for a deposit; key and content are the same.
func (lg *ledger) send(nd *node, key string) reply {
	got := lg.fl.ask(nd, deposit(key, key))
	lg.mu.Lock()
	defer lg.mu.Unlock()
	outcome := got.Outcome
	if got.Cut {
		outcome = answer.Unknown
	}
	lg.told[key] = append(lg.told[key], outcome)
	return got
}

// check returns every deposit that ran twice, ran although it was refused each time, or was answered unrun.
func (lg *ledger) check() []string {
	wrong := []string{}
	for key, told := range lg.told {
		effects := lg.fl.effects(key)
		refused, done := true, false
		for _, outcome := range told {
			refused = refused && outcome == answer.NotRun
			done = done || outcome == answer.Answered
		}
		switch {
		case effects > 1:
			wrong = append(wrong, fmt.Sprintf("deposit %s ran %d times", key, effects))
		case effects > 0 && refused:
			wrong = append(wrong, fmt.Sprintf("deposit %s ran and was refused as not run", key))
		case effects == 0 && done:
			wrong = append(wrong, fmt.Sprintf("deposit %s was answered and did not run", key))
		}
	}
	return wrong
}

// sendAgain sends each of count deposits through several instances at once and then for hours.
func (lg *ledger) sendAgain(count int) {
	group := sync.WaitGroup{}
	for at := range count {
		for try := range 3 {
			group.Go(func() {
				nodes := lg.fl.live()
				lg.send(nodes[(at+try)%len(nodes)], fmt.Sprintf("d%d", at))
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	for range 3 {
		time.Sleep(5 * time.Minute)
		for at := range count {
			nodes := lg.fl.live()
			lg.send(nodes[at%len(nodes)], fmt.Sprintf("d%d", at))
		}
	}
}

func TestOnce(t *testing.T) {
	faults := map[string]func(fl *fleet){
		"none":                             func(*fleet) {},
		"answers of claims are lost":       func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.loseAnswer = 40 }) },
		"claims land late":                 func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.landLate = 40 }) },
		"lost and late":                    func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.loseAnswer, ft.landLate = 30, 30 }) },
		"slow platform":                    func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.slow = 1400 * time.Millisecond }) },
		"failure domains cut off":          func(fl *fleet) { fl.cutDomains("a", "b", true); fl.cutDomains("b", "c", true) },
		"services act and then break":      func(fl *fleet) { each(fl.pool("ledger"), func(up *fakeUpstream) { up.actThenDie = true }) },
		"services answer an earlier call":  func(fl *fleet) { each(fl.pool("ledger"), func(up *fakeUpstream) { up.answerOther = true }) },
		"services are slow past deadlines": func(fl *fleet) { each(fl.pool("ledger"), func(up *fakeUpstream) { up.slowFactor = 1000 }) },
		"services are down":                func(fl *fleet) { each(fl.pool("ledger"), func(up *fakeUpstream) { up.down = true }) },
		"services are leaving":             func(fl *fleet) { each(fl.pool("ledger"), func(up *fakeUpstream) { up.leaving = true }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 4, func(fl *fleet) {
				fault(fl)
				lg := newLedger(fl)
				lg.sendAgain(40)
				must.SliceEmpty(fl.t, lg.check())
			})
		})
	}
	t.Run("the check finds a table service that ignores conditions", func(t *testing.T) {
		withFleet(t, 3, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.ignoreConditions = true })
			lg := newLedger(fl)
			lg.sendAgain(40)
			must.SliceNotEmpty(fl.t, lg.check())
		})
	})
}

func each(ups []*fakeUpstream, change func(up *fakeUpstream)) {
	for _, up := range ups {
		up.set(change)
	}
}

func TestPlatformOutageAroundClaims(t *testing.T) {
	withFleet(t, 4, 3, func(fl *fleet) {
		lg := newLedger(fl)
		must.Eq(fl.t, answer.Answered, lg.send(fl.live()[0], "before").Outcome)
		fl.setTable(func(ft *fakeTable) { ft.down = true })
		for range 5 {
			got := lg.send(fl.live()[1], "during")
			must.Eq(fl.t, answer.NotRun, got.Outcome)
			must.Positive(fl.t, got.Error.RetryAfterMs)
		}
		answered(fl.t, "idempotent work goes on", fl.ask(fl.live()[1], draft("idempotent work goes on")))
		fl.setTable(func(ft *fakeTable) { ft.down = false })
		time.Sleep(time.Minute)
		must.Eq(fl.t, answer.Answered, lg.send(fl.live()[2], "during").Outcome)
		replayed := lg.send(fl.live()[2], "before")
		must.True(fl.t, replayed.Replayed)
		must.SliceEmpty(fl.t, lg.check())
	})
}

// TestFrozenHolder freezes an instance between its claim and its dispatch for longer than the deadline.
func TestFrozenHolder(t *testing.T) {
	withFleet(t, 5, 3, func(fl *fleet) {
		lg := newLedger(fl)
		holder := fl.live()[0]
		got := make(chan reply, 1)
		holder.freeze()
		go func() { got <- lg.send(holder, "frozen") }()
		time.Sleep(time.Second)
		must.Eq(fl.t, answer.Unknown, lg.send(fl.live()[0], "frozen").Outcome)
		time.Sleep(time.Minute)
		holder.thaw()
		must.Eq(fl.t, answer.NotRun, (<-got).Outcome)
		time.Sleep(time.Minute)
		must.Eq(fl.t, answer.Answered, lg.send(fl.live()[1], "frozen").Outcome)
		must.SliceEmpty(fl.t, lg.check())
	})
}

func TestKilledHolder(t *testing.T) {
	withFleet(t, 6, 3, func(fl *fleet) {
		lg := newLedger(fl)
		each(fl.pool("ledger"), func(up *fakeUpstream) { up.service = 500 * time.Millisecond })
		holder := fl.live()[0]
		go lg.send(holder, "killed")
		time.Sleep(100 * time.Millisecond)
		holder.kill()
		for range 4 {
			must.Eq(fl.t, answer.Unknown, lg.send(fl.live()[0], "killed").Outcome)
			time.Sleep(time.Hour)
		}
		must.SliceEmpty(fl.t, lg.check())
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	withFleet(t, 7, 2, func(fl *fleet) {
		must.Eq(fl.t, answer.Answered, fl.ask(fl.live()[0], deposit("k", "one")).Outcome)
		got := fl.ask(fl.live()[1], deposit("k", "two"))
		must.Eq(fl.t, answer.IdempotencyKeyReused, got.Error.Code)
		must.Eq(fl.t, 0, fl.effects("two"))
	})
}

func TestNotRun(t *testing.T) {
	t.Run("a refusal for want of time, room or upstreams did not run", func(t *testing.T) {
		withFleet(t, 8, 3, func(fl *fleet) {
			lg := newLedger(fl)
			each(fl.pool("ledger"), func(up *fakeUpstream) { up.slowFactor = 30 })
			group := sync.WaitGroup{}
			for at := range 3000 {
				group.Go(func() {
					asked := deposit(fmt.Sprint(at), fmt.Sprint(at))
					asked.body.DeadlineMs = 400
					got := fl.ask(fl.live()[at%3], asked)
					lg.mu.Lock()
					defer lg.mu.Unlock()
					lg.told[fmt.Sprint(at)] = append(lg.told[fmt.Sprint(at)], got.Outcome)
				})
				time.Sleep(time.Millisecond)
			}
			group.Wait()
			time.Sleep(time.Minute)
			must.SliceEmpty(fl.t, lg.check())
			must.Positive(fl.t, lg.count(answer.NotRun))
		})
	})
	t.Run("the check finds an upstream that acts and says that it did not", func(t *testing.T) {
		withFleet(t, 8, 3, func(fl *fleet) {
			lg := newLedger(fl)
			each(fl.pool("ledger"), func(up *fakeUpstream) { up.leaving = true })
			lg.send(fl.live()[0], "liar")
			fl.byName["ledger-0"].act(&depositCall, `"liar"`)
			must.SliceNotEmpty(fl.t, lg.check())
		})
	})
}

func (lg *ledger) count(outcome answer.Outcome) int {
	total := 0
	for _, told := range lg.told {
		for _, one := range told {
			if one == outcome {
				total++
			}
		}
	}
	return total
}
