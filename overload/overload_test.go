package overload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/overload"
)

// server is a queue that serves capacity requests a second in order of arrival.
type server struct {
	capacity float64
	freeAt   float64
}

// replay sends a burst and counts the requests that are served on time, late, and refused.
func replay(weigh func(overload.Estimate) overload.Decision) (timely, late, refused int) {
	const due, end, usual, burst = 3.0, 6.0, 40.0, 96.0
	pool := server{capacity: 50}
	for now := 0.0; now < 20; {
		rate := usual
		if now > 5 && now < 11 {
			rate = burst
		}
		now += 1 / rate
		expected := max(pool.freeAt-now, 0) + 1/pool.capacity
		if _, begins := weigh(overload.Estimate{ExpectedLatency: seconds(expected), UntilTarget: seconds(due), UntilDeadline: seconds(end)}).(overload.Admit); !begins {
			refused++
			continue
		}
		pool.freeAt = max(pool.freeAt, now) + 1/pool.capacity
		switch {
		case expected <= due:
			timely++
		default:
			late++
		}
	}
	return timely, late, refused
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// TestBurst replays a burst of 2.4 times the usual rate at a pool that carries 1.25 times of it.
func TestBurst(t *testing.T) {
	always := func(overload.Estimate) overload.Decision { return overload.Admit{} }
	timelyBefore, _, _ := replay(always)
	timely, late, refused := replay(overload.Decide)
	must.Greater(t, timelyBefore, timely, must.Sprint("without a limit, the queue makes what comes later late"))
	must.Greater(t, 0, refused)
	must.Less(t, timely/4, late)
}

func TestWeigh(t *testing.T) {
	t.Run("a request that is expected in time, with a margin for what comes before it, begins", func(t *testing.T) {
		begins := overload.Estimate{ExpectedLatency: 800 * time.Millisecond, UntilTarget: time.Second, UntilDeadline: 6 * time.Second}
		must.Eq(t, overload.Decision(overload.Admit{}), overload.Decide(begins))
		late := begins
		late.ExpectedLatency = time.Second
		_, turned := overload.Decide(late).(overload.Reject)
		must.True(t, turned)
	})
	t.Run("one that can't be served is told when the queue is gone", func(t *testing.T) {
		verdict := overload.Decide(overload.Estimate{ExpectedLatency: 5 * time.Second, UntilTarget: time.Second, UntilDeadline: 6 * time.Second})
		must.Eq(t, overload.Decision(overload.Reject{RetryAfter: 5 * time.Second}), verdict)
	})
	t.Run("the caller's patience bounds it as well", func(t *testing.T) {
		_, begins := overload.Decide(overload.Estimate{ExpectedLatency: 2 * time.Second, UntilTarget: 3 * time.Second, UntilDeadline: 2 * time.Second}).(overload.Admit)
		must.False(t, begins)
	})
}

// TestRepeatAtOnce replays a burst in which each refused caller comes back after 20 ms, three times over, as against
// callers who wait as they are told. It must not cost the others anything.
func TestRepeatAtOnce(t *testing.T) {
	play := func(repeats int) (timely, late int) {
		pool := server{capacity: 50}
		for now := 0.0; now < 10; now += 1.0 / 96 {
			for at := range repeats + 1 {
				arrived := now + float64(at)*0.02
				expected := max(pool.freeAt-arrived, 0) + 1/pool.capacity
				if _, begins := overload.Decide(overload.Estimate{ExpectedLatency: seconds(expected), UntilTarget: seconds(3), UntilDeadline: seconds(6)}).(overload.Admit); !begins {
					continue
				}
				pool.freeAt = max(pool.freeAt, arrived) + 1/pool.capacity
				if expected <= 3 {
					timely++
				} else {
					late++
				}
				break
			}
		}
		return timely, late
	}
	patientTimely, _ := play(0)
	timely, late := play(3)
	must.GreaterEq(t, patientTimely*95/100, timely)
	must.Zero(t, late)
}
