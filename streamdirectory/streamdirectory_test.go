package streamdirectory_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/origin"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/streamdirectory"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// errSilent is the error of a call to an instance that does not answer.
var errSilent = errors.New("no answer")

// fleet holds the directories of some instances.
type fleet struct {
	mu          sync.Mutex
	names       []string
	directories map[string]*streamdirectory.Directory
	// silent instances do not answer, left ones are not live; versions are those of the pool, staleness is its age.
	silent, left map[string]bool
	versions     []string
	staleness    time.Duration
	// onConfirm is called when the store has answered.
	onConfirm func()
	// onStaleness is called when the age is read.
	onStaleness func()
	// storeVersions are the versions that the store has, or nil if it is away; confirmations counts the reads of it.
	storeVersions []string
	confirmations int
	// records counts the calls with records.
	records int
}

// change changes the fleet while its instances run.
func (fl *fleet) change(change func()) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	change()
}

// isSilent reports whether an instance does not answer.
func (fl *fleet) isSilent(id string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.silent[id]
}

// age returns the age of the registrations.
func (fl *fleet) age() time.Duration {
	fl.mu.Lock()
	onStaleness := fl.onStaleness
	fl.mu.Unlock()
	if onStaleness != nil {
		onStaleness()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.staleness
}

// recordCalls returns the number of calls with records.
func (fl *fleet) recordCalls() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.records
}

func (fl *fleet) Live() []member.Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []member.Member{}
	for at, name := range fl.names {
		if !fl.left[name] {
			list = append(list, member.Member{ID: name, FailureDomain: fmt.Sprint("d", at%3)})
		}
	}
	return list
}

func (fl *fleet) RecordOriginsAt(_ context.Context, keeper member.Member, request *wire.RecordOriginsRequest) error {
	fl.mu.Lock()
	fl.records++
	fl.mu.Unlock()
	if fl.isSilent(keeper.ID) {
		return errSilent
	}
	fl.directories[keeper.ID].Keep(request)
	return nil
}

func (fl *fleet) FindOriginAt(ctx context.Context, keeper member.Member, request *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	if fl.isSilent(keeper.ID) {
		<-ctx.Done()
		return nil, errSilent
	}
	return fl.directories[keeper.ID].Reply(request), nil
}

func (fl *fleet) TriggerHeartbeat() {}

// confirm reads the versions from the store.
func (fl *fleet) confirm(context.Context) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.confirmations++
	if fl.storeVersions == nil {
		return errSilent
	}
	fl.versions = fl.storeVersions
	if fl.onConfirm != nil {
		fl.onConfirm()
	}
	return nil
}

func (fl *fleet) present() (map[string][]origin.Origin, time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	list := []origin.Origin{}
	for _, version := range fl.versions {
		list = append(list, origin.Origin{Pool: "model", Version: version})
	}
	return map[string][]origin.Origin{"query": list}, longest
}

// setVersions sets the versions of the pool.
func (fl *fleet) setVersions(versions ...string) {
	fl.mu.Lock()
	fl.versions = versions
	fl.mu.Unlock()
	for _, each := range fl.directories {
		each.Refresh()
	}
	synctest.Wait()
}

// runFleet runs instances in fake time, which have been there for some time with a pool of version v1.
func runFleet(t *testing.T, count int, age time.Duration, run func(ctx context.Context, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := timer.New()
		fl := &fleet{directories: map[string]*streamdirectory.Directory{}, silent: map[string]bool{}, left: map[string]bool{}, versions: []string{"v1"}}
		ctx, cancel := context.WithCancel(context.Background())
		ends := []chan struct{}{}
		for at := range count {
			name := fmt.Sprint("i", at)
			fl.names = append(fl.names, name)
			fl.directories[name] = streamdirectory.New(streamdirectory.Parts{
				Self: name, Fleet: fl, Present: fl.present, Confirm: fl.confirm, Staleness: fl.age,
				Timers: timers, Events: timeline.New(name, hlc.New(timers), 100, nil),
			})
			stopped := make(chan struct{})
			ends = append(ends, stopped)
			go fl.directories[name].Run(ctx, stopped)
			fl.directories[name].Refresh()
		}
		time.Sleep(age)
		run(ctx, fl)
		time.Sleep(time.Second)
		cancel()
		for _, stopped := range ends {
			<-stopped
		}
	})
}

func upstreamOf(version string) *roster.Upstream {
	return &roster.Upstream{ID: "m-" + version, Pool: "model", SoftwareVersion: version}
}

// begin begins a stream at an instance, and waits until other instances have its record, if they are to.
func (fl *fleet) begin(name, id, version string) {
	fl.directories[name].Begin(id, "query", 1, upstreamOf(version))
	time.Sleep(100 * time.Millisecond)
}

// assertFound checks what an instance finds of a stream.
func assertFound(ctx context.Context, t *testing.T, fl *fleet, name, id, version string, source streamdirectory.Source) {
	t.Helper()
	expected := streamdirectory.Found{Origin: origin.Origin{Pool: "model", Version: version}, Source: source}
	must.Eq(t, streamdirectory.Result(expected), fl.directories[name].Find(ctx, id, "query"))
}

func assertNotFound(ctx context.Context, t *testing.T, fl *fleet, name, id string, mayBeFound bool) {
	t.Helper()
	must.Eq(t, streamdirectory.Result(streamdirectory.NotFound{MayBeFound: mayBeFound}), fl.directories[name].Find(ctx, id, "query"))
}

// longest is the longest time that a stream may last, and retention how long its origin is kept for that.
const (
	longest   = 25 * time.Second
	retention = 30 * time.Second
)

// old is how long an instance is there that knows all versions which streams can have.
const old = retention + time.Second

func TestFind(t *testing.T) {
	t.Run("the instance that began a stream knows its origin", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.setVersions("v1", "v2")
			fl.begin("i0", "a", "v2")
			assertFound(ctx, t, fl, "i0", "a", "v2", streamdirectory.OwnRecord)
		})
	})
	t.Run("each other instance finds it, also if the one that began it does not answer or is gone", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.setVersions("v1", "v2")
			fl.begin("i0", "a", "v2")
			fl.change(func() { fl.silent["i0"] = true })
			for _, name := range fl.names[1:] {
				result, is := fl.directories[name].Find(ctx, "a", "query").(streamdirectory.Found)
				must.True(t, is)
				must.Eq(t, "v2", result.Origin.Version)
			}
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v2", streamdirectory.PeerRecord)
		})
	})
	t.Run("one version needs no record, and no call for it", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.begin("i0", "a", "v1")
			must.Zero(t, fl.recordCalls())
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v1", streamdirectory.OnlyVersion)
		})
	})
	t.Run("streams that began before a second version came are recorded when it comes", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.begin("i0", "a", "v1")
			fl.setVersions("v1", "v2")
			time.Sleep(100 * time.Millisecond)
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v1", streamdirectory.PeerRecord)
		})
	})
	t.Run("one version now does not prove one then", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.setVersions("v1", "v2")
			time.Sleep(time.Second)
			fl.setVersions("v2")
			assertNotFound(ctx, t, fl, "i1", "unknown", false)
			time.Sleep(old)
			assertFound(ctx, t, fl, "i1", "unknown", "v2", streamdirectory.OnlyVersion)
		})
	})
	t.Run("it does not either for instances that have just started", func(t *testing.T) {
		runFleet(t, 8, time.Second, func(ctx context.Context, fl *fleet) {
			assertNotFound(ctx, t, fl, "i1", "unknown", false)
			fl.begin("i0", "a", "v1")
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v1", streamdirectory.PeerRecord)
		})
	})
	t.Run("nor while the registrations are old and the store is away", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.staleness = 9 * time.Second })
			assertNotFound(ctx, t, fl, "i1", "unknown", true)
			fl.begin("i0", "a", "v1")
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v1", streamdirectory.PeerRecord)
		})
	})
	t.Run("while the store has no changes, streams are not replicated, and a read of it shows that there is one version", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.staleness, fl.storeVersions = 3*time.Second, []string{"v1"} })
			fl.onConfirm = func() { fl.staleness = 0 }
			fl.begin("i0", "a", "v1")
			must.Zero(t, fl.recordCalls())
			fl.change(func() { fl.left["i0"] = true })
			assertFound(ctx, t, fl, "i1", "a", "v1", streamdirectory.OnlyVersion)
			must.Eq(t, 1, fl.confirmations)
		})
	})
	t.Run("nor if an instance does not answer that may know better than one with old registrations", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.silent["i0"], fl.staleness = true, 3*time.Second })
			began := time.Now()
			assertNotFound(ctx, t, fl, "i1", "unknown", true)
			must.LessEq(t, 200*time.Millisecond, time.Since(began))
		})
	})
	t.Run("if others do not answer, a read of the store from then on shows that there is one version", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.silent["i0"], fl.silent["i2"], fl.storeVersions = true, true, []string{"v1"} })
			assertFound(ctx, t, fl, "i1", "unknown", "v1", streamdirectory.OnlyVersion)
			must.Eq(t, 1, fl.confirmations)
		})
	})
	t.Run("or that there is another one, at which the stream may have begun", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.silent["i0"], fl.silent["i2"], fl.storeVersions = true, true, []string{"v1", "v2"} })
			assertNotFound(ctx, t, fl, "i1", "unknown", true)
		})
	})
	t.Run("while the store is away, too, the version is not known", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.silent["i0"] = true })
			assertNotFound(ctx, t, fl, "i1", "unknown", true)
		})
	})
	t.Run("an instance that is alone asks the store", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.change(func() { fl.left["i0"], fl.left["i2"] = true, true })
			assertNotFound(ctx, t, fl, "i1", "unknown", true)
			fl.change(func() { fl.storeVersions = []string{"v1"} })
			assertFound(ctx, t, fl, "i1", "unknown", "v1", streamdirectory.OnlyVersion)
		})
	})
	t.Run("changes may be missed while the staleness is read", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			directory := fl.directories["i1"]
			fl.change(func() {
				fl.onStaleness = func() {
					missed := make(chan struct{})
					go func() { directory.Missed(); close(missed) }()
					<-missed
				}
			})
			assertFound(ctx, t, fl, "i1", "unknown", "v1", streamdirectory.OnlyVersion)
		})
	})
	t.Run("after changes were missed, one version does not prove that there was no other", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			for _, each := range fl.directories {
				each.Missed()
			}
			assertNotFound(ctx, t, fl, "i1", "unknown", false)
			time.Sleep(old)
			assertFound(ctx, t, fl, "i1", "unknown", "v1", streamdirectory.OnlyVersion)
		})
	})
	t.Run("a caller without an id is only served while there is one version", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			assertFound(ctx, t, fl, "i1", "", "v1", streamdirectory.OnlyVersion)
			fl.setVersions("v1", "v2")
			fl.begin("i0", "", "v2")
			assertNotFound(ctx, t, fl, "i1", "", false)
		})
	})
	t.Run("the last send counts, whichever record comes first", func(t *testing.T) {
		runFleet(t, 3, old, func(ctx context.Context, fl *fleet) {
			fl.setVersions("v1", "v2")
			directory := fl.directories["i0"]
			directory.Begin("a", "query", 2, upstreamOf("v2"))
			directory.Begin("a", "query", 1, upstreamOf("v1"))
			time.Sleep(100 * time.Millisecond)
			assertFound(ctx, t, fl, "i0", "a", "v2", streamdirectory.OwnRecord)
		})
	})
	t.Run("after many instances were replaced, a stream that was taken up is still known", func(t *testing.T) {
		runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
			fl.setVersions("v1", "v2")
			fl.begin("i0", "a", "v2")
			result, is := fl.directories["i5"].Find(ctx, "a", "query").(streamdirectory.Found)
			must.True(t, is)
			fl.directories["i5"].Continue("a", "query", result.Origin)
			for _, name := range []string{"i0", "i1", "i2", "i3", "i4"} {
				fl.change(func() { fl.left[name] = true })
			}
			assertFound(ctx, t, fl, "i5", "a", "v2", streamdirectory.OwnRecord)
		})
	})
}

// TestStreamTakenUpAtTheVersionOfItsFirstSend guards against the record of a send that brought no event, where another send at
// another version has brought the first one.
func TestStreamTakenUpAtTheVersionOfItsFirstSend(t *testing.T) {
	runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
		fl.setVersions("v1", "v2")
		directory := fl.directories["i0"]
		directory.Begin("a", "query", 1, upstreamOf("v1"))
		time.Sleep(100 * time.Millisecond)
		directory.Begin("a", "query", 2, upstreamOf("v2"))
		directory.AwaitCorrection(ctx, "a")
		for _, name := range fl.names[1:] {
			assertFound(ctx, t, fl, name, "a", "v2", sourceAt(fl, name))
		}
		t.Run("nothing is waited for where the version stays", func(t *testing.T) {
			directory.Begin("b", "query", 1, upstreamOf("v1"))
			directory.Begin("b", "query", 2, upstreamOf("v1"))
			began := time.Now()
			directory.AwaitCorrection(ctx, "b")
			must.Zero(t, time.Since(began))
		})
		t.Run("an instance that does not answer delays the first event by little", func(t *testing.T) {
			fl.change(func() { fl.silent["i1"], fl.silent["i2"], fl.silent["i3"] = true, true, true })
			directory.Begin("c", "query", 1, upstreamOf("v1"))
			directory.Begin("c", "query", 2, upstreamOf("v2"))
			began := time.Now()
			directory.AwaitCorrection(ctx, "c")
			must.LessEq(t, 200*time.Millisecond, time.Since(began))
		})
	})
}

// sourceAt returns the source of an origin at an instance: its own record if it keeps any.
func sourceAt(fl *fleet, name string) streamdirectory.Source {
	if fl.directories[name].Len() > 0 {
		return streamdirectory.OwnRecord
	}
	return streamdirectory.PeerRecord
}

// TestStreamTakenUpBeforeItsRecordHasArrived guards against refusals of streams that break soon after they begin.
func TestStreamTakenUpBeforeItsRecordHasArrived(t *testing.T) {
	runFleet(t, 8, old, func(ctx context.Context, fl *fleet) {
		fl.setVersions("v1", "v2")
		fl.directories["i0"].Begin("a", "query", 1, upstreamOf("v2"))
		for _, name := range fl.names[1:] {
			result, is := fl.directories[name].Find(ctx, "a", "query").(streamdirectory.Found)
			must.True(t, is)
			must.Eq(t, "v2", result.Origin.Version)
		}
	})
}

func TestEndedUpstreams(t *testing.T) {
	runFleet(t, 2, old, func(ctx context.Context, fl *fleet) {
		ended := upstreamOf("v1")
		fl.directories["i0"].ReportEnded(ended.Incarnation())
		fl.directories["i1"].AddEndedNews(fl.directories["i0"].EndedNews(false))
		must.True(t, fl.directories["i1"].IsEnded(ended.Incarnation()))
		t.Run("what begins there is of an unknown version, which other instances know, too", func(*testing.T) {
			fl.begin("i1", "a", "v1")
			result, _ := fl.directories["i0"].Find(ctx, "a", "query").(streamdirectory.Found)
			must.True(t, result.Origin.IsUnknown)
		})
		time.Sleep(2 * time.Minute)
		must.False(t, fl.directories["i1"].IsEnded(ended.Incarnation()), must.Sprint("its registration is gone by then"))
	})
}
