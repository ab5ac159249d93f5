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

// checkAnswer returns a violation if a draft was answered with anything but its complete answer.
func checkAnswer(query string, got reply) []string {
	if got.Interrupted || got.Outcome != answer.Answered {
		return nil
	}
	if outputText(got) != expectedText(query) {
		return []string{fmt.Sprintf("query %q was answered with %q", query, outputText(got))}
	}
	if len(got.Tokens) > 0 && strings.Join(got.Tokens, "") != expectedText(query) {
		return []string{fmt.Sprintf("query %q streamed %q", query, got.Tokens)}
	}
	return nil
}

// sendMany sends count drafts concurrently and returns the violations and the number of answered drafts.
func (fl *fleet) sendMany(count int, stream bool) (violations []string, answeredCount int) {
	mu, group := sync.Mutex{}, sync.WaitGroup{}
	nodes := fl.live()
	for at := range count {
		group.Go(func() {
			req := draftRequest(fmt.Sprintf("query %d", at))
			req.body.Stream = stream
			got := fl.send(nodes[at%len(nodes)], req)
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, checkAnswer(fmt.Sprintf("query %d", at), got)...)
			if got.Outcome == answer.Answered {
				answeredCount++
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return violations, answeredCount
}

// TestResults sets each fault of upstreams' answers in turn and requires that all answers are complete.
func TestResults(t *testing.T) {
	faults := map[string]func(fl *fleet){
		"none": func(*fleet) {},
		"an upstream answers with the previous call": func(fl *fleet) {
			fl.byName["encoders-0"].set(func(up *fakeUpstream) { up.answerPrevious = true })
		},
		"an upstream answers garbage": func(fl *fleet) {
			fl.byName["rerankers-1"].set(func(up *fakeUpstream) { up.garbage = true })
		},
		"streams break after five tokens": func(fl *fleet) {
			fl.byName["engines-0"].set(func(up *fakeUpstream) { up.breakAfterTokens = 5 })
			fl.byName["engines-1"].set(func(up *fakeUpstream) { up.breakAfterTokens = 1 })
		},
		"slow upstreams are hedged": func(fl *fleet) {
			fl.byName["encoders-0"].set(func(up *fakeUpstream) { up.slowFactor = 20 })
			fl.byName["retrievers-2"].set(func(up *fakeUpstream) { up.slowFactor = 20 })
		},
	}
	for name, fault := range faults {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				withFleet(t, 1, 3, func(fl *fleet) {
					fault(fl)
					violations, answeredCount := fl.sendMany(120, stream)
					must.SliceEmpty(fl.t, violations)
					must.GreaterEq(fl.t, 108, answeredCount)
				})
			})
		}
	}
	t.Run("the check finds an upstream that answers with another request's content", func(t *testing.T) {
		withFleet(t, 1, 3, func(fl *fleet) {
			fl.byName["engines-0"].set(func(up *fakeUpstream) { up.wrongContent = true })
			violations, _ := fl.sendMany(120, false)
			must.SliceNotEmpty(fl.t, violations)
		})
	})
}

func TestKilledInstance(t *testing.T) {
	withFleet(t, 2, 3, func(fl *fleet) {
		victim := fl.live()[0]
		got := make(chan reply, 1)
		go func() {
			req := draftRequest("cut")
			req.body.Stream = true
			got <- fl.send(victim, req)
		}()
		time.Sleep(60 * time.Millisecond)
		victim.kill()
		must.True(fl.t, (<-got).Interrupted)
		requireAnswered(fl.t, "again", fl.send(fl.live()[0], draftRequest("again")))
	})
}

// TestBrownout sends requests while all rerankers are down: a pipeline whose rerank stage may be skipped answers without
// it, and other pipelines refuse.
func TestBrownout(t *testing.T) {
	withFleet(t, 3, 3, func(fl *fleet) {
		team := fl.teamText("models")
		text := strings.Replace(team.Text, "[Stage rerank]\n", "[Stage optional]\nPool = rerankers\nBrownout = Skip\n[Pipeline short]\nStages = encode, retrieve, optional, generate\n[Stage rerank]\n", 1)
		must.Eq(fl.t, "Accepted", fl.putTeam(fl.live()[0], "models", team.Revision, text, "short").Outcome)
		time.Sleep(time.Second)
		updateAll(fl.pool("rerankers"), func(up *fakeUpstream) { up.down = true })
		for at := range 20 {
			short := draftRequest("short")
			short.pipeline = "short"
			got := fl.send(fl.live()[at%3], short)
			must.Eq(fl.t, answer.Answered, got.Outcome)
			must.True(fl.t, got.Brownout)
		}
		must.NotEq(fl.t, answer.Answered, fl.send(fl.live()[0], draftRequest("whole")).Outcome)
	})
}

// TestCallerLeaves checks that the calls of a request are cancelled when its caller closes the connection.
func TestCallerLeaves(t *testing.T) {
	withFleet(t, 4, 2, func(fl *fleet) {
		updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.slowFactor = 30 })
		nd := fl.live()[0]
		done := make(chan struct{})
		go func() {
			defer close(done)
			fl.send(nd, draftRequest("leaves"))
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
		fl.eventually(time.Second, "an engine runs the call", func() bool { return busy() == 1 })
		nd.end()
		<-done
		must.Eq(fl.t, 0, busy())
	})
}

// TestPoolDown takes all engines down for a minute: only the first few requests fail, the others are refused without
// running, and requests are answered again soon after the engines are up.
func TestPoolDown(t *testing.T) {
	withFleet(t, 5, 3, func(fl *fleet) {
		updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.down = true })
		failed := 0
		for at := range 300 {
			got := fl.send(fl.live()[at%3], draftRequest(fmt.Sprint("down ", at)))
			if got.Outcome == answer.Failed {
				failed++
			}
			time.Sleep(200 * time.Millisecond)
		}
		// Each of three instances may fail one request for each of six engines, by which it learns that the engine is down.
		must.LessEq(fl.t, 18, failed)
		updateAll(fl.pool("engines"), func(up *fakeUpstream) { up.down = false })
		time.Sleep(4 * time.Second)
		for at := range 30 {
			requireAnswered(fl.t, fmt.Sprint("back ", at), fl.send(fl.live()[at%3], draftRequest(fmt.Sprint("back ", at))))
		}
	})
}
