package throttle_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/hlc"
	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/notice"
	"github.com/turmericdoor/turmericdoor/ratelimit"
	"github.com/turmericdoor/turmericdoor/roster"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/throttle"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

var (
	up = &roster.Upstream{ID: "u", FailureDomain: "a", StartUnixMs: 7}
	// reborn is the next incarnation of up.
	reborn = &roster.Upstream{ID: "u", FailureDomain: "a", StartUnixMs: 8}
)

// errSilent is the error of a call to an instance that does not answer.
var errSilent = errors.New("no answer")

// fleet holds the throttles of some instances; the first of them owns all permits.
type fleet struct {
	timers    *timer.Service
	clock     *hlc.Clock
	throttles map[string]*throttle.Throttle
	events    []*wire.Event
	// silent instances do not answer; calls counts the calls to others.
	silent map[string]bool
	calls  int
	share  float64
	// leaving is the number of leaving upstreams that each instance knows.
	leaving map[string]int
}

// end is the view that one instance has of the fleet.
type end struct {
	*fleet
}

func (en end) Live() []member.Member {
	return []member.Member{{ID: "owner", FailureDomain: "a"}, {ID: "other", FailureDomain: "b"}}
}

func (en end) Share(time.Duration) float64 { return en.share }

func (en end) Time() time.Time {
	read := en.clock.Now()
	return time.UnixMicro(read.WallMicros).Add(time.Duration(read.Logical))
}

func (en end) AskPermit(ctx context.Context, owner member.Member, request *wire.PermitRequest) (*wire.PermitReply, error) {
	en.calls++
	if en.silent[owner.ID] {
		<-ctx.Done()
		return nil, errSilent
	}
	return en.throttles[owner.ID].IssuePermit(request), nil
}

func (en end) SendReport(ctx context.Context, owner member.Member, report *wire.LimitReport) (*wire.LimitReply, error) {
	if en.silent[owner.ID] {
		<-ctx.Done()
		return nil, errSilent
	}
	return en.throttles[owner.ID].ApplyReport(report), nil
}

func (end) TriggerHeartbeat() {}

// runFleet runs two instances in fake time, which have been there for some time.
func runFleet(t *testing.T, run func(ctx context.Context, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := timer.New()
		fl := &fleet{timers: timers, clock: hlc.New(timers), throttles: map[string]*throttle.Throttle{}, silent: map[string]bool{}, leaving: map[string]int{}, share: 1}
		ctx, cancel := context.WithCancel(context.Background())
		ends := []chan struct{}{}
		for _, name := range []string{"owner", "other"} {
			events := timeline.New(name, fl.clock, 100, func(event *wire.Event) { fl.events = append(fl.events, event) })
			th := throttle.New(throttle.Parts{
				Self: name, Fleet: end{fl}, Find: func(string) *roster.Upstream { return up }, Timers: timers,
				LeavingChanged: func(since map[roster.Incarnation]time.Time) { fl.leaving[name] = len(since) }, Events: events,
			})
			fl.throttles[name] = th
			stopped := make(chan struct{})
			ends = append(ends, stopped)
			go th.Run(ctx, stopped)
		}
		time.Sleep(3 * time.Second)
		run(ctx, fl)
		cancel()
		for _, stopped := range ends {
			<-stopped
		}
	})
}

// send makes a call to an upstream through an instance, whose answer announces something.
func (fl *fleet) send(ctx context.Context, name string, to *roster.Upstream, announced ratelimit.Announcement) error {
	answered, err := fl.throttles[name].Acquire(ctx, to, 0)
	if err == nil {
		answered(notice.Notice{Limit: announced})
		synctest.Wait()
	}
	return err
}

// assertExceeded checks that a call was not permitted for about a time.
func assertExceeded(t *testing.T, err error, about time.Duration) {
	t.Helper()
	exceeded := ratelimit.Exceeded{}
	must.True(t, errors.As(err, &exceeded), must.Sprint(err))
	must.Between(t, about-50*time.Millisecond, exceeded.RetryAfter, about+50*time.Millisecond)
}

func TestThrottle(t *testing.T) {
	t.Run("an upstream without a limit costs no call", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			for range 100 {
				must.NoError(t, fl.send(ctx, "other", up, ratelimit.None{}))
			}
			must.Zero(t, fl.calls)
		})
	})
	t.Run("a limit holds for all instances together", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			assertExceeded(t, fl.send(ctx, "other", up, nil), time.Second)
			assertExceeded(t, fl.send(ctx, "owner", up, nil), time.Second)
			time.Sleep(time.Second)
			must.NoError(t, fl.send(ctx, "owner", up, ratelimit.Limit{PerSecond: 1}))
			assertExceeded(t, fl.send(ctx, "other", up, nil), time.Second)
		})
	})
	t.Run("an instance that another one tells asks for permits, too", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "owner", up, ratelimit.Limit{PerSecond: 1}))
			fl.throttles["other"].AddNews(fl.throttles["owner"].News(false))
			assertExceeded(t, fl.send(ctx, "other", up, nil), time.Second)
		})
	})
	t.Run("a call with a permit whose answer announces none ends the limit everywhere", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			time.Sleep(time.Second)
			must.NoError(t, fl.send(ctx, "owner", up, ratelimit.None{}))
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.None{}))
			must.MapEmpty(t, fl.throttles["other"].Limits())
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.None{}))
		})
	})
	t.Run("an answer that was sent before the limit does not end it", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			late, err := fl.throttles["other"].Acquire(ctx, up, 0)
			must.NoError(t, err)
			must.NoError(t, fl.send(ctx, "owner", up, ratelimit.Limit{PerSecond: 1}))
			late(notice.Notice{Limit: ratelimit.None{}})
			synctest.Wait()
			must.MapNotEmpty(t, fl.throttles["owner"].Limits())
		})
	})
	t.Run("an answer that overtook the change of a limit does not undo it", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 2}))
			time.Sleep(time.Second)
			old, err := fl.throttles["other"].Acquire(ctx, up, 0)
			must.NoError(t, err)
			time.Sleep(time.Second)
			must.NoError(t, fl.send(ctx, "owner", up, ratelimit.Limit{PerSecond: 1}))
			old(notice.Notice{Limit: ratelimit.Limit{PerSecond: 2}})
			synctest.Wait()
			must.Eq(t, 1, fl.throttles["owner"].Limits()[up.Incarnation()])
		})
	})
	t.Run("a limit that rises holds from the next answer on", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			time.Sleep(time.Second)
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 10}))
			time.Sleep(100 * time.Millisecond)
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 10}))
		})
	})
	t.Run("another incarnation has no limit", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			must.NoError(t, fl.send(ctx, "other", reborn, ratelimit.None{}))
			must.NoError(t, fl.send(ctx, "other", reborn, ratelimit.None{}))
			assertExceeded(t, fl.send(ctx, "other", up, nil), time.Second)
		})
	})
	t.Run("a value that is no number changes nothing and is recorded", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Invalid{Text: "many"}))
			must.MapEmpty(t, fl.throttles["other"].Limits())
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			time.Sleep(time.Second)
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Invalid{Text: "many"}))
			must.MapNotEmpty(t, fl.throttles["other"].Limits())
			must.Eq(t, wire.EventKind_EventRateLimitUnreadable, fl.events[0].GetKind())
		})
	})
	t.Run("a call may wait for its permit", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 2}))
			began := time.Now()
			_, err := fl.throttles["other"].Acquire(ctx, up, 2*time.Second)
			must.NoError(t, err)
			must.Eq(t, 500*time.Millisecond, time.Since(began))
		})
	})
	t.Run("a share of the limit is left to instances that are cut off", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			fl.share = 0.25
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			assertExceeded(t, fl.send(ctx, "other", up, nil), 4*time.Second)
		})
	})
	t.Run("an owner that does not answer is not asked again for a while", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			fl.silent["owner"] = true
			began := time.Now()
			assertExceeded(t, fl.send(ctx, "other", up, nil), 500*time.Millisecond)
			assertExceeded(t, fl.send(ctx, "other", up, nil), 500*time.Millisecond)
			must.Eq(t, 1, fl.calls)
			must.LessEq(t, 200*time.Millisecond, time.Since(began))
		})
	})
	t.Run("a new owner learns the limit from the one who asks, and issues nothing before it knows the others", func(t *testing.T) {
		runFleet(t, func(ctx context.Context, fl *fleet) {
			must.NoError(t, fl.send(ctx, "other", up, ratelimit.Limit{PerSecond: 1}))
			fl.throttles["owner"] = throttle.New(throttle.Parts{
				Self: "owner", Fleet: end{fl}, Find: func(string) *roster.Upstream { return up }, Timers: fl.timers,
				Events: timeline.New("owner", fl.clock, 100, nil),
			})
			assertExceeded(t, fl.send(ctx, "other", up, nil), 2*time.Second)
			time.Sleep(2 * time.Second)
			assertExceeded(t, fl.send(ctx, "other", up, nil), time.Second)
		})
	})
}
