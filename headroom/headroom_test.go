package headroom_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/headroom"
)

var start = time.Unix(1000, 0)

// load offers far more requests than an upstream has room for, perSecond of them, and returns how many it accepted and the most that it
// rejected in a second.
func load(rejections, perSecond float64, length time.Duration) (accepted, mostRejected int) {
	rg, next, places := headroom.New(), start, 0.0
	rg.Announce("u", rejections, headroom.Unlimited)
	rejected := []time.Time{}
	const tick, maxPlaces = 2 * time.Millisecond, 5
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		places = min(places+perSecond*tick.Seconds(), maxPlaces)
		rate, _ := rg.Rate(now, "u")
		if rg.Wait(now, "u") > 0 || now.Before(next) {
			continue
		}
		next = now.Add(time.Duration(float64(time.Second) / rate))
		rg.Grant(now, "u")
		if places >= 1 {
			places--
			accepted++
			continue
		}
		rg.Reject(now, "u")
		rejected = append(rejected, now)
	}
	for first := range rejected {
		count := 0
		for _, at := range rejected[first:] {
			if at.Sub(rejected[first]) < time.Second {
				count++
			}
		}
		mostRejected = max(mostRejected, count)
	}
	return accepted, mostRejected
}

func TestOverload(t *testing.T) {
	for _, rejections := range []float64{1, 3, 5, 20} {
		for _, perSecond := range []float64{5, 40, 150} {
			accepted, rejected := load(rejections, perSecond, 30*time.Second)
			must.LessEq(t, int(rejections), rejected, must.Sprintf("%v rejections, room for %v a second", rejections, perSecond))
			must.GreaterEq(t, int(15*perSecond), accepted, must.Sprintf("%v rejections, room for %v a second", rejections, perSecond))
		}
	}
}

func TestRegister(t *testing.T) {
	t.Run("an upstream of which nothing is known has no rate", func(t *testing.T) {
		rg := headroom.New()
		rg.Reject(start, "u")
		_, found := rg.Rate(start, "u")
		must.False(t, found)
		must.Zero(t, rg.Wait(start, "u"))
	})
	t.Run("an estimate begins at the rate that another owner had, and is forgotten at the end", func(t *testing.T) {
		rg := headroom.New()
		rg.Announce("u", 5, 30)
		rg.Announce("u", 4, headroom.Unlimited)
		rate, _ := rg.Rate(start, "u")
		must.Eq(t, 30.0, rate)
		rg.End("u")
		_, found := rg.Rate(start, "u")
		must.False(t, found)
	})
	t.Run("no requests after half of the rejections that it can bear, for a second", func(t *testing.T) {
		rg := headroom.New()
		rg.Announce("u", 4, headroom.Unlimited)
		rg.Reject(start, "u")
		must.Zero(t, rg.Wait(start, "u"))
		rg.Reject(start.Add(100*time.Millisecond), "u")
		must.Eq(t, 900*time.Millisecond, rg.Wait(start.Add(100*time.Millisecond), "u"))
	})
	t.Run("a rate that is not used does not rise", func(t *testing.T) {
		rg := headroom.New()
		rg.Announce("u", 4, 30)
		for ms := range 100 {
			rate, _ := rg.Rate(start.Add(time.Duration(ms)*100*time.Millisecond), "u")
			must.Eq(t, 30.0, rate)
		}
	})
}
