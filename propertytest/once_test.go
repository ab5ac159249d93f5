package propertytest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// ledger records the outcomes that callers received for each deposit, by key.
type ledger struct {
	fl       *fleet
	mu       sync.Mutex
	outcomes map[string][]answer.Outcome
}

func newLedger(fl *fleet) *ledger {
	return &ledger{fl: fl, outcomes: map[string][]answer.Outcome{}}
}

// sendDeposit sends a deposit whose content is its key and records the outcome.
func (lg *ledger) sendDeposit(nd *node, key string) reply {
	got := lg.fl.send(nd, depositRequest(key, key))
	lg.mu.Lock()
	defer lg.mu.Unlock()
	outcome := got.Outcome
	if got.Interrupted {
		outcome = answer.Unknown
	}
	lg.outcomes[key] = append(lg.outcomes[key], outcome)
	return got
}

// check returns a violation for each deposit that ran twice, that ran although every outcome was NotRun, or that was
// answered without running.
func (lg *ledger) check() []string {
	violations := []string{}
	for key, outcomes := range lg.outcomes {
		executions := lg.fl.executions(key)
		refused, done := true, false
		for _, outcome := range outcomes {
			refused = refused && outcome == answer.NotRun
			done = done || outcome == answer.Answered
		}
		switch {
		case executions > 1:
			violations = append(violations, fmt.Sprintf("deposit %s ran %d times", key, executions))
		case executions > 0 && refused:
			violations = append(violations, fmt.Sprintf("deposit %s ran although its only outcome was NotRun", key))
		case executions == 0 && done:
			violations = append(violations, fmt.Sprintf("deposit %s was answered but did not run", key))
		}
	}
	return violations
}

// sendRepeatedly sends each of count deposits through several instances at once, and again three times at intervals of
// five minutes.
func (lg *ledger) sendRepeatedly(count int) {
	group := sync.WaitGroup{}
	for at := range count {
		for try := range 3 {
			group.Go(func() {
				nodes := lg.fl.live()
				lg.sendDeposit(nodes[(at+try)%len(nodes)], fmt.Sprintf("d%d", at))
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	for range 3 {
		time.Sleep(5 * time.Minute)
		for at := range count {
			nodes := lg.fl.live()
			lg.sendDeposit(nodes[at%len(nodes)], fmt.Sprintf("d%d", at))
		}
	}
}

func TestOnce(t *testing.T) {
	faults := map[string]func(fl *fleet){
		"none":                         func(*fleet) {},
		"responses to claims are lost": func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.lostResponsePercent = 40 }) },
		"claims commit late":           func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.lateCommitPercent = 40 }) },
		"responses are lost and commits are late": func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.lostResponsePercent, ft.lateCommitPercent = 30, 30 })
		},
		"slow platform":           func(fl *fleet) { fl.setTable(func(ft *fakeTable) { ft.slow = 1400 * time.Millisecond }) },
		"failure domains cut off": func(fl *fleet) { fl.cutDomains("a", "b", true); fl.cutDomains("b", "c", true) },
		"services execute and then close": func(fl *fleet) {
			updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.closeAfterExecuting = true })
		},
		"services answer with the previous call": func(fl *fleet) { updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.answerPrevious = true }) },
		"services are slower than deadlines":     func(fl *fleet) { updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.slowFactor = 1000 }) },
		"services are down":                      func(fl *fleet) { updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.down = true }) },
		"services are leaving":                   func(fl *fleet) { updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.leaving = true }) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 4, func(fl *fleet) {
				fault(fl)
				lg := newLedger(fl)
				lg.sendRepeatedly(40)
				must.SliceEmpty(fl.t, lg.check())
			})
		})
	}
	t.Run("the check finds a table service that ignores conditions", func(t *testing.T) {
		withFleet(t, 3, 4, func(fl *fleet) {
			fl.setTable(func(ft *fakeTable) { ft.ignoreConditions = true })
			lg := newLedger(fl)
			lg.sendRepeatedly(40)
			must.SliceNotEmpty(fl.t, lg.check())
		})
	})
}

func updateAll(ups []*fakeUpstream, change func(up *fakeUpstream)) {
	for _, up := range ups {
		up.set(change)
	}
}

func TestPlatformOutageAroundClaims(t *testing.T) {
	withFleet(t, 4, 3, func(fl *fleet) {
		lg := newLedger(fl)
		must.Eq(fl.t, answer.Answered, lg.sendDeposit(fl.live()[0], "before").Outcome)
		fl.setTable(func(ft *fakeTable) { ft.down = true })
		for range 5 {
			got := lg.sendDeposit(fl.live()[1], "during")
			must.Eq(fl.t, answer.NotRun, got.Outcome)
			must.Positive(fl.t, got.Error.RetryAfterMs)
		}
		requireAnswered(fl.t, "idempotent work goes on", fl.send(fl.live()[1], draftRequest("idempotent work goes on")))
		fl.setTable(func(ft *fakeTable) { ft.down = false })
		time.Sleep(time.Minute)
		must.Eq(fl.t, answer.Answered, lg.sendDeposit(fl.live()[2], "during").Outcome)
		replayed := lg.sendDeposit(fl.live()[2], "before")
		must.True(fl.t, replayed.Replayed)
		must.SliceEmpty(fl.t, lg.check())
	})
}

// TestFrozenHolder freezes an instance between claim and dispatch for longer than the request's deadline. If
// another instance could take over the claim, the deposit could run twice after the thaw.
func TestFrozenHolder(t *testing.T) {
	withFleet(t, 5, 3, func(fl *fleet) {
		lg := newLedger(fl)
		holder := fl.live()[0]
		got := make(chan reply, 1)
		holder.freeze()
		go func() { got <- lg.sendDeposit(holder, "frozen") }()
		time.Sleep(time.Second)
		must.Eq(fl.t, answer.Unknown, lg.sendDeposit(fl.live()[0], "frozen").Outcome)
		time.Sleep(time.Minute)
		holder.thaw()
		must.Eq(fl.t, answer.NotRun, (<-got).Outcome)
		time.Sleep(time.Minute)
		must.Eq(fl.t, answer.Answered, lg.sendDeposit(fl.live()[1], "frozen").Outcome)
		must.SliceEmpty(fl.t, lg.check())
	})
}

func TestKilledHolder(t *testing.T) {
	withFleet(t, 6, 3, func(fl *fleet) {
		lg := newLedger(fl)
		updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.serviceTime = 500 * time.Millisecond })
		holder := fl.live()[0]
		go lg.sendDeposit(holder, "killed")
		time.Sleep(100 * time.Millisecond)
		holder.kill()
		for range 4 {
			must.Eq(fl.t, answer.Unknown, lg.sendDeposit(fl.live()[0], "killed").Outcome)
			time.Sleep(time.Hour)
		}
		must.SliceEmpty(fl.t, lg.check())
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	withFleet(t, 7, 2, func(fl *fleet) {
		must.Eq(fl.t, answer.Answered, fl.send(fl.live()[0], depositRequest("k", "one")).Outcome)
		got := fl.send(fl.live()[1], depositRequest("k", "two"))
		must.Eq(fl.t, answer.IdempotencyKeyReused, got.Error.Code)
		must.Eq(fl.t, 0, fl.executions("two"))
	})
}

func TestNotRun(t *testing.T) {
	t.Run("a request that is refused for lack of time, queue space or upstreams did not run", func(t *testing.T) {
		withFleet(t, 8, 3, func(fl *fleet) {
			lg := newLedger(fl)
			updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.slowFactor = 30 })
			group := sync.WaitGroup{}
			for at := range 3000 {
				group.Go(func() {
					req := depositRequest(fmt.Sprint(at), fmt.Sprint(at))
					req.body.DeadlineMs = 400
					got := fl.send(fl.live()[at%3], req)
					lg.mu.Lock()
					defer lg.mu.Unlock()
					lg.outcomes[fmt.Sprint(at)] = append(lg.outcomes[fmt.Sprint(at)], got.Outcome)
				})
				time.Sleep(time.Millisecond)
			}
			group.Wait()
			time.Sleep(time.Minute)
			must.SliceEmpty(fl.t, lg.check())
			must.Positive(fl.t, lg.countOutcome(answer.NotRun))
		})
	})
	t.Run("the check finds an upstream that executes a call and reports that it did not", func(t *testing.T) {
		withFleet(t, 8, 3, func(fl *fleet) {
			lg := newLedger(fl)
			updateAll(fl.pool("ledger"), func(up *fakeUpstream) { up.leaving = true })
			lg.sendDeposit(fl.live()[0], "liar")
			fl.byName["ledger-0"].execute(&depositCall, `"liar"`)
			must.SliceNotEmpty(fl.t, lg.check())
		})
	})
}

// countOutcome returns how often callers received an outcome.
func (lg *ledger) countOutcome(outcome answer.Outcome) int {
	total := 0
	for _, outcomes := range lg.outcomes {
		for _, recorded := range outcomes {
			if recorded == outcome {
				total++
			}
		}
	}
	return total
}
