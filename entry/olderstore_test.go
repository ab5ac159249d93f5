package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/replica"
	"github.com/turmericdoor/turmericdoor/roster"
)

const (
	// appliedWithin is how long after its acknowledgement a configuration must be in force at all instances.
	appliedWithin = 2 * time.Second
	// awayTime is how long the store is away before it comes back older.
	awayTime = 600 * time.Millisecond
	// registerAgainTime is how long upstreams take to write their registrations again.
	registerAgainTime = 1500 * time.Millisecond
	// lapseTime is the silence after which the platform removes a registration.
	lapseTime = 3600 * time.Millisecond
)

// olderStore is a run in which the store comes back from a copy some seconds old.
type olderStore struct {
	*soak
	taken storeCopy
	// lost are the upstreams that registered after the copy was taken, left those that have left since.
	lost []*upstream
	left []*upstream
	// lostChanges is the number of other changes after the copy.
	lostChanges int
}

// newOlderStore starts a fleet of instances.
func newOlderStore(instances int) *olderStore {
	fl := newFleetOf(instances, 1, defects{})
	sk := &soak{fleet: fl, keyHolders: []string{organisationName(0), organisationName(1)}, outcomes: map[string]int{}, lastOutcome: map[string]string{}}
	sk.configure()
	time.Sleep(convergenceTime + time.Second)
	return &olderStore{soak: sk}
}

// loseChanges takes a copy of the store and makes changes that the copy does not have.
func (os *olderStore) loseChanges() {
	us := os.fleet.upstreams
	os.taken = os.fleet.store.copy()
	for number := range 3 {
		os.configure()
		us.register(fmt.Sprint("lost-", number), "plain", "a")
		us.mu.Lock()
		os.lost = append(os.lost, us.byID[fmt.Sprint("lost-", number)])
		announced, removed := us.byID[fmt.Sprint("plain-", number)], us.byID[fmt.Sprint("model-", number)]
		us.mu.Unlock()
		us.leave(announced, true)
		us.leave(removed, false)
		os.left = append(os.left, announced, removed)
		time.Sleep(300 * time.Millisecond)
	}
	for range os.lostChanges {
		os.fleet.upstreams.writeRegistration(os.lost[0])
	}
	time.Sleep(time.Second)
}

// comeBackOlder makes the store come back from the copy. The upstreams write their registrations again, and those that are
// gone lapse; the operator writes the last configuration again.
func (os *olderStore) comeBackOlder() {
	st, us := os.fleet.store, os.fleet.upstreams
	st.setState(true, 0)
	time.Sleep(awayTime)
	st.restore(os.taken)
	st.setState(false, 0)
	us.mu.Lock()
	defer us.mu.Unlock()
	spacing := registerAgainTime / time.Duration(len(os.lost))
	for number, up := range os.lost {
		os.group.Go(func() {
			time.Sleep(spacing * time.Duration(number+1))
			us.writeRegistration(up)
		})
	}
	for number, up := range os.left {
		os.group.Go(func() {
			time.Sleep(lapseTime)
			if number%2 == 0 {
				us.writeRegistration(up)
				time.Sleep(time.Second)
			}
			st.put(registrations, removalRow(up))
		})
	}
}

// awaitRevision returns how long it takes until all instances have at least a revision, or limit.
func (os *olderStore) awaitRevision(revision int64, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		isBehind := func(nd *node) bool {
			table := nd.entry.Catalog().RoutingTable()
			return table == nil || table.Revision < revision
		}
		if !slices.ContainsFunc(os.fleet.live(), isBehind) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	os.checkRevisions()
	return time.Since(began)
}

// assertApplied writes a configuration and checks that it is in force in time.
func (os *olderStore) assertApplied(t *testing.T) {
	t.Helper()
	os.configure()
	must.LessEq(t, appliedWithin, os.awaitRevision(os.revision, 4*appliedWithin))
	must.SliceEmpty(t, os.violations)
}

// usable returns the ids of the given upstreams that an instance may use.
func usable(nd *node, list []*upstream) []string {
	ids := []string{}
	for _, up := range list {
		if nd.entry.Catalog().IsUsable(roster.Incarnation{ID: up.ID, StartUnixMs: up.StartUnixMs}) {
			ids = append(ids, up.ID)
		}
	}
	return ids
}

// assertRegistrations checks for a time that no instance uses an upstream that has left, and in the end that all use those that
// have registered again.
func (os *olderStore) assertRegistrations(t *testing.T, length time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; time.Sleep(50 * time.Millisecond) {
		for _, nd := range os.fleet.live() {
			must.SliceEmpty(t, usable(nd, os.left), must.Sprintf("instance %s after %v", nd.id, time.Since(began)))
			must.SliceLen(t, len(os.lost), usable(nd, os.lost), must.Sprintf("instance %s after %v", nd.id, time.Since(began)))
		}
	}
}

// playOlderStore runs a test on fleets of both sizes.
func playOlderStore(t *testing.T, play func(t *testing.T, os *olderStore)) {
	for _, size := range []int{8, 77} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				os := newOlderStore(size)
				defer os.fleet.stop()
				defer os.group.Wait()
				play(t, os)
			})
		})
	}
}

// TestStoreComesBackOlder guards against instances that hold on to the versions of a store which has come back from an older copy.
func TestStoreComesBackOlder(t *testing.T) {
	delays := map[string]time.Duration{"at once": 20 * time.Millisecond, "half a second later": 500 * time.Millisecond, "two seconds later": 2 * time.Second}
	for name, delay := range delays {
		t.Run("a configuration written "+name+" is in force in time", func(t *testing.T) {
			playOlderStore(t, func(t *testing.T, os *olderStore) {
				os.loseChanges()
				os.comeBackOlder()
				time.Sleep(delay)
				os.assertApplied(t)
				time.Sleep(5 * time.Second)
				os.assertApplied(t)
			})
		})
	}
	t.Run("many changes were lost", func(t *testing.T) {
		playOlderStore(t, func(t *testing.T, os *olderStore) {
			os.lostChanges = 500
			os.loseChanges()
			os.comeBackOlder()
			for range 3 {
				time.Sleep(time.Second)
				os.assertApplied(t)
			}
		})
	})
	t.Run("the versions are given out again before anyone reads", func(t *testing.T) {
		playOlderStore(t, func(t *testing.T, os *olderStore) {
			os.loseChanges()
			os.fleet.store.setState(true, 0)
			time.Sleep(awayTime)
			os.fleet.store.restore(os.taken)
			os.configure()
			for range 100 {
				os.fleet.upstreams.writeRegistration(os.lost[0])
			}
			os.fleet.store.setState(false, 0)
			must.LessEq(t, appliedWithin, os.awaitRevision(os.revision, 4*appliedWithin))
			os.assertApplied(t)
		})
	})
	t.Run("the store comes back older twice", func(t *testing.T) {
		playOlderStore(t, func(t *testing.T, os *olderStore) {
			for range 2 {
				os.loseChanges()
				os.comeBackOlder()
				time.Sleep(time.Second)
				os.assertApplied(t)
			}
		})
	})
}

// TestOlderStoreRevivesWhatIsGone guards against instances that take an older copy of the store for news.
func TestOlderStoreRevivesWhatIsGone(t *testing.T) {
	t.Run("upstreams that left stay out of use, new ones stay in use", func(t *testing.T) {
		playOlderStore(t, func(t *testing.T, os *olderStore) {
			os.loseChanges()
			os.comeBackOlder()
			os.assertRegistrations(t, 8*time.Second)
		})
	})
	t.Run("an instance that starts before the configuration is written again has it from the others", func(t *testing.T) {
		playOlderStore(t, func(t *testing.T, os *olderStore) {
			os.loseChanges()
			os.comeBackOlder()
			old := os.fleet.live()[2]
			os.fleet.kill(old)
			os.fleet.restart(old, defects{})
			must.LessEq(t, convergenceTime, os.awaitRevision(os.revision, 2*convergenceTime))
			must.SliceEmpty(t, os.violations)
		})
	})
}

const (
	// maxCopyAge is the greatest age of the copy from which the store of a randomised run comes back.
	maxCopyAge = 4 * time.Second
	// unknownTime is how long a change may be unknown to all instances while the store is slow.
	unknownTime = 500 * time.Millisecond
	// writeAgainTime is how long the operator takes to write the configuration again.
	writeAgainTime = time.Second
)

// storeComesBackOlder makes the store go away for a moment and come back from a copy some seconds old, unless it is down already.
func (sk *soak) storeComesBackOlder() {
	if down, _ := sk.fleet.store.state(); down || !sk.copied.CompareAndSwap(false, true) {
		return
	}
	sk.faults["StoreComesBackOlder"]++
	taken, age, away := sk.fleet.store.copy(), sk.standingRandom.DurationUpTo(maxCopyAge), sk.standingRandom.DurationUpTo(awayTime)
	again := sk.standingRandom.DurationUpTo(writeAgainTime)
	sk.group.Go(func() {
		time.Sleep(age)
		sk.awaitStore()
		sk.fleet.store.setState(true, 0)
		lost := sk.fleet.upstreams.leftSince(time.Now().Add(-unknownTime))
		time.Sleep(away)
		for _, up := range lost {
			up.acknowledgeAgain(sk.fleet.upstreams, lost, time.Now().Add(lapseTime))
		}
		sk.fleet.store.restore(taken)
		sk.fleet.upstreams.evacuationsLost(taken)
		sk.fleet.store.setState(false, 0)
		sk.writeAgain(again, lost)
		sk.copied.Store(false)
	})
}

// newestRevision returns the newest revision that was written.
func (st *store) newestRevision() int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.Max(slices.Collect(maps.Keys(st.tables)))
}

// leftSince returns the upstreams that have left since a time.
func (us *upstreamSet) leftSince(since time.Time) []*upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	list := []*upstream{}
	for _, up := range us.byID {
		if up.leftAt.After(since) {
			list = append(list, up)
		}
	}
	return list
}

// writeAgain writes what the older copy of the store lacks: the configuration after a time, and the registrations, each by its
// upstream or, where there is none any more, by the platform after lapseTime. The departures of lost are those that no instance
// need have read before the store went away; they are acknowledged when they are written again.
func (sk *soak) writeAgain(configured time.Duration, lost []*upstream) {
	us, st := sk.fleet.upstreams, sk.fleet.store
	us.mu.Lock()
	running := maps.Clone(us.byID)
	us.mu.Unlock()
	time.Sleep(configured)
	sk.awaitStore()
	st.put(configurations, replica.Row{Key: configurationKey, Value: []byte(fmt.Sprint(st.newestRevision()))})
	us.writeEvacuationsAgain()
	time.Sleep(registerAgainTime - configured)
	sk.awaitStore()
	for id, up := range running {
		us.mu.Lock()
		isSame, isRunning, isLeaving := us.byID[id] == up, !up.crashed && up.leftAt.IsZero(), up.Leaving
		us.mu.Unlock()
		if isSame && (isRunning || isLeaving) {
			up.acknowledgeAgain(us, lost, us.writeRegistration(up))
		}
	}
	time.Sleep(lapseTime - registerAgainTime)
	sk.awaitStore()
	for id, up := range running {
		us.mu.Lock()
		isGone := us.byID[id] == up && (up.crashed || !up.leftAt.IsZero())
		us.mu.Unlock()
		if isGone {
			up.acknowledgeAgain(us, lost, st.put(registrations, removalRow(up)))
		}
	}
}

// acknowledgeAgain sets when the departure of an upstream was acknowledged, if it is one of those lost.
func (up *upstream) acknowledgeAgain(us *upstreamSet, lost []*upstream, at time.Time) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if slices.Contains(lost, up) && !up.leftAt.IsZero() {
		up.leftAt = at
	}
}
