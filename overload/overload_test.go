package overload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/overload"
)

// server is a FIFO queue that serves capacity requests per second.
type server struct {
	capacity float64
	freeAt   float64
}

// replay simulates a burst and counts the requests that are served on time, served late, and rejected.
func replay(decide func(overload.Estimate) overload.Decision) (onTime, late, rejected int) {
	const due, end, usual, burst = 3.0, 6.0, 40.0, 96.0
	pool := server{capacity: 50}
	for now := 0.0; now < 20; {
		rate := usual
		if now > 5 && now < 11 {
			rate = burst
		}
		now += 1 / rate
		expected := max(pool.freeAt-now, 0) + 1/pool.capacity
		if _, admitted := decide(overload.Estimate{ExpectedLatency: seconds(expected), UntilTarget: seconds(due), UntilDeadline: seconds(end)}).(overload.Admit); !admitted {
			rejected++
			continue
		}
		pool.freeAt = max(pool.freeAt, now) + 1/pool.capacity
		switch {
		case expected <= due:
			onTime++
		default:
			late++
		}
	}
	return onTime, late, rejected
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// TestBurst guards against a queue that makes most requests late: a burst of 2.4 times the usual rate reaches a pool
// with a capacity of 1.25 times that rate.
func TestBurst(t *testing.T) {
	always := func(overload.Estimate) overload.Decision { return overload.Admit{} }
	baseline, _, _ := replay(always)
	onTime, late, rejected := replay(overload.Decide)
	must.Greater(t, baseline, onTime, must.Sprint("without admission control, the queue delays later requests beyond their target"))
	must.Greater(t, 0, rejected)
	must.Less(t, onTime/4, late)
}

func TestDecide(t *testing.T) {
	t.Run("a request that is expected on time with a safety margin is admitted", func(t *testing.T) {
		admitted := overload.Estimate{ExpectedLatency: 800 * time.Millisecond, UntilTarget: time.Second, UntilDeadline: 6 * time.Second}
		must.Eq(t, overload.Decision(overload.Admit{}), overload.Decide(admitted))
		late := admitted
		late.ExpectedLatency = time.Second
		_, rejected := overload.Decide(late).(overload.Reject)
		must.True(t, rejected)
	})
	t.Run("a request that can't be served in time is rejected until the queue has drained", func(t *testing.T) {
		decision := overload.Decide(overload.Estimate{ExpectedLatency: 5 * time.Second, UntilTarget: time.Second, UntilDeadline: 6 * time.Second})
		must.Eq(t, overload.Decision(overload.Reject{RetryAfter: 5 * time.Second}), decision)
	})
	t.Run("the deadline bounds the expected latency too", func(t *testing.T) {
		_, admitted := overload.Decide(overload.Estimate{ExpectedLatency: 2 * time.Second, UntilTarget: 3 * time.Second, UntilDeadline: 2 * time.Second}).(overload.Admit)
		must.False(t, admitted)
	})
}

// TestImmediateRetries guards against callers that ignore RetryAfter and retry three times at intervals of 20 ms: they
// must not reduce the number of requests served on time, compared with callers that wait.
func TestImmediateRetries(t *testing.T) {
	play := func(retries int) (onTime, late int) {
		pool := server{capacity: 50}
		for now := 0.0; now < 10; now += 1.0 / 96 {
			for at := range retries + 1 {
				arrived := now + float64(at)*0.02
				expected := max(pool.freeAt-arrived, 0) + 1/pool.capacity
				if _, admitted := overload.Decide(overload.Estimate{ExpectedLatency: seconds(expected), UntilTarget: seconds(3), UntilDeadline: seconds(6)}).(overload.Admit); !admitted {
					continue
				}
				pool.freeAt = max(pool.freeAt, arrived) + 1/pool.capacity
				if expected <= 3 {
					onTime++
				} else {
					late++
				}
				break
			}
		}
		return onTime, late
	}
	baseline, _ := play(0)
	onTime, late := play(3)
	must.GreaterEq(t, baseline*95/100, onTime)
	must.Zero(t, late)
}
