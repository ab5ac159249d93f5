package propertytest

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
)

// checkWhole returns what is wrong with the reply to a draft: an answer must be the whole of its own.
func checkWhole(query string, got reply) []string {
	if got.Cut || got.Outcome != answer.Answered {
		return nil
	}
	if textOf(got) != wanted(query) {
		return []string{fmt.Sprintf("query %q got %q", query, textOf(got))}
	}
	if len(got.Tokens) > 0 && strings.Join(got.Tokens, "") != wanted(query) {
		return []string{fmt.Sprintf("query %q streamed %q", query, got.Tokens)}
	}
	return nil
}

// askMany sends count drafts at once and returns what was wrong and how many were answered.
func (fl *fleet) askMany(count int, stream bool) (wrong []string, whole int) {
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	nodes := fl.live()
	for at := range count {
		group.Go(func() {
			asked := draft(fmt.Sprintf("query %d", at))
			asked.body.Stream = stream
			got := fl.ask(nodes[at%len(nodes)], asked)
			mu.Lock()
			defer mu.Unlock()
			wrong = append(wrong, checkWhole(fmt.Sprintf("query %d", at), got)...)
			if got.Outcome == answer.Answered {
				whole++
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return wrong, whole
}

// TestResults has every fault of a stage's answers, one at a time, and expects whole answers throughout.
func TestResults(t *testing.T) {
	faults := map[string]func(fl *fleet){
		"none": func(*fleet) {},
		"an upstream answers an earlier call": func(fl *fleet) {
			fl.byName["encoders-0"].set(func(up *fakeUpstream) { up.answerOther = true })
		},
		"an upstream answers garbage": func(fl *fleet) {
			fl.byName["rerankers-1"].set(func(up *fakeUpstream) { up.garbage = true })
		},
		"streams break after five tokens": func(fl *fleet) {
			fl.byName["engines-0"].set(func(up *fakeUpstream) { up.breakAfter = 5 })
			fl.byName["engines-1"].set(func(up *fakeUpstream) { up.breakAfter = 1 })
		},
		"a slow upstream's hedges lose and win": func(fl *fleet) {
			fl.byName["encoders-0"].set(func(up *fakeUpstream) { up.slowFactor = 20 })
			fl.byName["retrievers-2"].set(func(up *fakeUpstream) { up.slowFactor = 20 })
		},
	}
	for name, fault := range faults {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				withFleet(t, 1, 3, func(fl *fleet) {
					fault(fl)
					wrong, whole := fl.askMany(120, stream)
					must.SliceEmpty(fl.t, wrong)
					must.GreaterEq(fl.t, 108, whole)
				})
			})
		}
	}
	t.Run("the check finds an upstream that answers with another request's content", func(t *testing.T) {
		withFleet(t, 1, 3, func(fl *fleet) {
			fl.byName["engines-0"].set(func(up *fakeUpstream) { up.lieContent = true })
			wrong, _ := fl.askMany(120, false)
			must.SliceNotEmpty(fl.t, wrong)
		})
	})
}

func TestKilledInstance(t *testing.T) {
	withFleet(t, 2, 3, func(fl *fleet) {
		victim := fl.live()[0]
		got := make(chan reply, 1)
		go func() {
			asked := draft("cut")
			asked.body.Stream = true
			got <- fl.ask(victim, asked)
		}()
		time.Sleep(60 * time.Millisecond)
		victim.kill()
		must.True(fl.t, (<-got).Cut)
		answered(fl.t, "again", fl.ask(fl.live()[0], draft("again")))
	})
}

// TestBrownout has all rerankers down: a pipeline whose document lets the stage be left out is answered
// without it, and one whose document doesn't is refused.
func TestBrownout(t *testing.T) {
	withFleet(t, 3, 3, func(fl *fleet) {
		team := fl.text("models")
		text := strings.Replace(team.Text, "[Stage rerank]\n", "[Stage optional]\nPool = rerankers\nBrownout = Skip\n[Pipeline short]\nStages = encode, retrieve, optional, generate\n[Stage rerank]\n", 1)
		must.Eq(fl.t, "Accepted", fl.put(fl.live()[0], "models", team.Revision, text, "short").Outcome)
		time.Sleep(time.Second)
		each(fl.pool("rerankers"), func(up *fakeUpstream) { up.down = true })
		for at := range 20 {
			short := draft("short")
			short.pipeline = "short"
			got := fl.ask(fl.live()[at%3], short)
			must.Eq(fl.t, answer.Answered, got.Outcome)
			must.True(fl.t, got.Brownout)
		}
		must.NotEq(fl.t, answer.Answered, fl.ask(fl.live()[0], draft("whole")).Outcome)
	})
}

// TestCallerLeaves has a caller close its connection mid-request: what runs for it is cancelled.
func TestCallerLeaves(t *testing.T) {
	withFleet(t, 4, 2, func(fl *fleet) {
		each(fl.pool("engines"), func(up *fakeUpstream) { up.slowFactor = 30 })
		nd := fl.live()[0]
		done := make(chan struct{})
		go func() {
			defer close(done)
			fl.ask(nd, draft("leaves"))
		}()
		busy := func() int {
			total := 0
			for _, up := range fl.pool("engines") {
				up.mu.Lock()
				total += len(up.running)
				up.mu.Unlock()
			}
			return total
		}
		fl.eventually(time.Second, "an engine works on it", func() bool { return busy() == 1 })
		nd.end()
		<-done
		must.Eq(fl.t, 0, busy())
	})
}

// TestPoolDown has all engines down for a minute: requests are refused unrun but for the first few, and are
// answered again soon after the engines are back.
func TestPoolDown(t *testing.T) {
	withFleet(t, 5, 3, func(fl *fleet) {
		each(fl.pool("engines"), func(up *fakeUpstream) { up.down = true })
		failed := 0
		for at := range 300 {
			got := fl.ask(fl.live()[at%3], draft(fmt.Sprint("down ", at)))
			if got.Outcome == answer.Failed {
				failed++
			}
			time.Sleep(200 * time.Millisecond)
		}
		// Each of three instances finds out about each of six engines once.
		must.LessEq(fl.t, 18, failed)
		each(fl.pool("engines"), func(up *fakeUpstream) { up.down = false })
		time.Sleep(4 * time.Second)
		for at := range 30 {
			answered(fl.t, fmt.Sprint("back ", at), fl.ask(fl.live()[at%3], draft(fmt.Sprint("back ", at))))
		}
	})
}
