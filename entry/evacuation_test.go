package entry_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/catalog"
	"github.com/turmericdoor/turmericdoor/gateway"
	"github.com/turmericdoor/turmericdoor/replica"
)

// evacuatedTime is how long the failure domains of these tests are evacuated.
const evacuatedTime = 8 * time.Second

// TestEvacuatedDomain guards against requests, items, retries, resumed streams, freed results and reports that reach an evacuated failure
// domain, and against one that is not used again after its evacuation.
func TestEvacuatedDomain(t *testing.T) {
	playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
		list := er.evacuateAll(t, "a")
		known := time.Now()
		time.Sleep(evacuatedTime)
		er.assertAnswered(t, known, known.Add(evacuatedTime-requestTimeout))
		er.withdrawAll(t, list)
		withdrawn := time.Now()
		time.Sleep(2 * requestTimeout)
		er.assertAnswered(t, withdrawn, withdrawn.Add(requestTimeout))
	})
}

// TestEvacuatedDomainWhileAnswersBreak guards against retries and resumed streams that reach an evacuated failure domain because the
// answers of the upstreams in the other one break off.
func TestEvacuatedDomainWhileAnswersBreak(t *testing.T) {
	playEvacuation(t, defects{budget: generous}, func(t *testing.T, er *evacuationRun) {
		us := er.fleet.upstreams
		us.mu.Lock()
		us.breaksAnswers = true
		us.mu.Unlock()
		list := er.evacuateAll(t, "b")
		time.Sleep(evacuatedTime)
		er.withdrawAll(t, list)
	})
}

// TestEvacuatedDomainUnderLoad guards against items that wait in the queue of a failure domain while it is evacuated.
func TestEvacuatedDomainUnderLoad(t *testing.T) {
	playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
		for range 40 {
			er.send(er.randomNode(), "draft")
		}
		list := er.evacuateAll(t, "a")
		time.Sleep(evacuatedTime)
		er.withdrawAll(t, list)
	})
}

// TestEvacuationsAtManyMoments guards against calls that were on their way through an instance when it learnt of an evacuation: requests
// between two attempts, items in queues, results that are to be freed.
func TestEvacuationsAtManyMoments(t *testing.T) {
	playEvacuation(t, defects{budget: generous}, func(t *testing.T, er *evacuationRun) {
		us := er.fleet.upstreams
		us.mu.Lock()
		us.breaksAnswers = true
		us.mu.Unlock()
		list := []*evacuation{}
		for number := range 60 {
			domain := domains[number%len(domains)]
			for range 6 {
				er.send(er.randomNode(), "draft")
			}
			time.Sleep(time.Duration(number) * 3 * time.Millisecond)
			list = append(list, er.evacuateAll(t, domain)...)
			time.Sleep(400 * time.Millisecond)
			us.withdraw(domain)
			er.awaitAll(t, 0)
		}
		er.assertNotLate(t, list)
	})
}

// TestEvacuationWhileStoreReadersAreCut guards against an evacuation that is not known because the instances that read the store are cut off
// from it.
func TestEvacuationWhileStoreReadersAreCut(t *testing.T) {
	for name, set := range map[string]func(nd *node, isCut bool){
		"silently": func(nd *node, isCut bool) { nd.storeHangs.Store(isCut) },
		"refused":  func(nd *node, isCut bool) { nd.storeUnreachable.Store(isCut) },
	} {
		t.Run(name, func(t *testing.T) {
			playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
				cut := func(isCut bool) {
					for _, nd := range er.fleet.live() {
						if !isCut || nd.hasCalledStore(readersWithin) && nd != er.fleet.live()[0] {
							set(nd, isCut)
						}
					}
				}
				cut(true)
				list := er.evacuateAll(t, "a")
				time.Sleep(evacuatedTime)
				cut(false)
				time.Sleep(time.Second)
				cut(true)
				er.withdrawAll(t, list)
			})
		})
	}
}

// TestInstanceThatStartsDuringAnEvacuation guards against an instance that uses an evacuated failure domain because it starts while the store,
// which has the row, can't be reached.
func TestInstanceThatStartsDuringAnEvacuation(t *testing.T) {
	playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
		list := er.evacuateAll(t, "a")
		er.fleet.store.setState(true, 0)
		time.Sleep(time.Second)
		for _, number := range []int{1, 4} {
			old := er.fleet.live()[number]
			er.fleet.kill(old)
			er.fleet.restart(old, defects{})
			time.Sleep(convergenceTime)
			must.True(t, er.fleet.nodeAt(old.id).entry.Ready())
		}
		time.Sleep(evacuatedTime)
		er.fleet.store.setState(false, 0)
		time.Sleep(2 * time.Second)
		er.withdrawAll(t, list)
	})
}

// TestEvacuationWithdrawnWithoutHistory guards against an evacuation that never ends because its row was removed while the store could not be
// reached, and the store no longer has that change: the row is only missing in the complete table.
func TestEvacuationWithdrawnWithoutHistory(t *testing.T) {
	playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
		list := er.evacuateAll(t, "a")
		time.Sleep(2 * time.Second)
		er.assertNotLate(t, list)
		er.fleet.store.setState(true, 0)
		time.Sleep(2 * time.Second)
		er.fleet.upstreams.withdraw("a")
		er.fleet.store.dropHistory()
		er.fleet.store.setState(false, 0)
		back := time.Now()
		t.Logf("all instances know of the end after %v", er.awaitAll(t, 0))
		time.Sleep(500 * time.Millisecond)
		must.Positive(t, er.fleet.upstreams.callsTo("a", back))
	})
}

// TestEvacuationThatAnOlderStoreLacks guards against an evacuation that ends because the store comes back from an older copy, and against one
// that then lasts although its row is not written again.
func TestEvacuationThatAnOlderStoreLacks(t *testing.T) {
	comeBack := func(t *testing.T, er *evacuationRun) []*evacuation {
		t.Helper()
		taken := er.fleet.store.copy()
		list := er.evacuateAll(t, "a")
		time.Sleep(2 * time.Second)
		er.fleet.store.setState(true, 0)
		time.Sleep(awayTime)
		er.fleet.store.restore(taken)
		er.fleet.store.setState(false, 0)
		return list
	}
	t.Run("and gets again", func(t *testing.T) {
		playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
			list := comeBack(t, er)
			time.Sleep(3 * time.Second)
			er.fleet.store.put(configurations, evacuationRow("a", false))
			time.Sleep(evacuatedTime)
			er.withdrawAll(t, list)
		})
	})
	t.Run("and does not get again", func(t *testing.T) {
		playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
			list := comeBack(t, er)
			time.Sleep(4500 * time.Millisecond)
			er.assertNotLate(t, list)
			er.fleet.upstreams.mu.Lock()
			delete(er.fleet.upstreams.evacuations, "a")
			er.fleet.upstreams.mu.Unlock()
			back := time.Now()
			t.Logf("all instances use the failure domain again after %v", er.awaitAll(t, 0))
			time.Sleep(500 * time.Millisecond)
			must.Positive(t, er.fleet.upstreams.callsTo("a", back))
		})
	})
}

// TestAllDomainsEvacuated guards against requests that wait, run stages, or get no time to come back while all failure domains are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	playEvacuation(t, defects{}, func(t *testing.T, er *evacuationRun) {
		list := er.evacuateAll(t, "a", "b")
		known := time.Now()
		time.Sleep(evacuatedTime)
		refused := er.sentBetween(known, known.Add(evacuatedTime-time.Second))
		must.SliceNotEmpty(t, refused)
		for _, each := range refused {
			must.Eq(t, gateway.Outcome(gateway.Refused{Cause: gateway.Evacuated, RetryAfter: time.Second}), each.outcome, must.Sprint(each.path))
			must.LessEq(t, 10*time.Millisecond, each.ended.Sub(each.sent))
		}
		for _, each := range er.sentBetween(list[0].acknowledged.Add(-time.Second), known) {
			must.LessEq(t, time.Second, each.ended.Sub(known), must.Sprint("work that ran ends, and what waited is refused: ", each.path))
		}
		er.withdrawAll(t, list)
		withdrawn := time.Now()
		time.Sleep(2 * requestTimeout)
		er.assertAnswered(t, withdrawn, withdrawn.Add(requestTimeout))
	})
}

// TestStreamWhoseVersionIsEvacuated guards against a caller that gives up its stream, or whose stream goes on in an evacuated failure domain or
// at another version, while the version that began it is in evacuated failure domains only.
func TestStreamWhoseVersionIsEvacuated(t *testing.T) {
	playEvacuationOf(t, defects{}, []string{"once", "lookup"}, func(t *testing.T, er *evacuationRun) {
		us := er.fleet.upstreams
		for number := range 4 {
			us.start(number, map[string]string{"a": "v1", "b": "v2"}[domains[number%len(domains)]])
		}
		time.Sleep(convergenceTime)
		begun := er.beginAt(t, "v1")
		list := er.evacuateAll(t, "a")
		time.Sleep(evacuatedTime)
		for _, nd := range er.fleet.live() {
			must.Eq(t, gateway.Outcome(gateway.Refused{Cause: gateway.Evacuated, RetryAfter: time.Second}), er.takeUp(nd, begun))
		}
		er.withdrawAll(t, list)
		for _, nd := range er.fleet.live() {
			_, is := er.takeUp(nd, begun).(gateway.Answered)
			must.True(t, is)
		}
	})
}

// ignoringEvacuations ignores the rows that evacuate failure domains.
type ignoringEvacuations struct {
	decoder
}

// Evacuation decodes no row.
func (ignoringEvacuations) Evacuation(replica.Row) (string, bool, error) { return "", false, nil }

// TestIgnoredEvacuationIsDetected guards against tests that can't fail: a fleet that ignores the rows must send calls of all kinds too late.
func TestIgnoredEvacuationIsDetected(t *testing.T) {
	variant := defects{decoder: func(dc decoder) catalog.Decoder { return ignoringEvacuations{decoder: dc} }}
	playEvacuation(t, variant, func(t *testing.T, er *evacuationRun) {
		ev := er.fleet.upstreams.evacuate("a")
		time.Sleep(evacuatedTime)
		er.fleet.upstreams.mu.Lock()
		defer er.fleet.upstreams.mu.Unlock()
		late := ev.late()
		t.Logf("%d late calls", len(late))
		for _, kind := range []string{"request", "item", "freed results"} {
			must.True(t, slices.ContainsFunc(late, func(each string) bool { return strings.HasPrefix(each, kind) }), must.Sprint(kind))
		}
		must.SliceNotEmpty(t, er.fleet.upstreams.violations)
	})
}
