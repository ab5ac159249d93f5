package calibration_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/calibration"
)

func TestFactor(t *testing.T) {
	now := time.Unix(1000, 0)
	observe := func(fc *calibration.Factor, times int, ratio float64) {
		for range times {
			applied := fc.Value(now)
			forecast := fc.Apply(now, time.Second)
			fc.Observe(now, forecast, time.Duration(ratio*float64(time.Second)), applied)
		}
	}
	t.Run("converges to the true ratio while its own corrections are applied", func(t *testing.T) {
		fc := calibration.New()
		observe(fc, 60, 2)
		must.Between(t, 1.9, fc.Value(now), 2.1)
	})
	t.Run("converges with few observations a second", func(t *testing.T) {
		fc, at := calibration.New(), now
		for range 12 {
			at = at.Add(700 * time.Millisecond)
			applied := fc.Value(at)
			fc.Observe(at, fc.Apply(at, time.Second), 2*time.Second, applied)
		}
		must.Between(t, 1.8, fc.Value(at), 2.1)
	})
	t.Run("decays without observations", func(t *testing.T) {
		fc := calibration.New()
		observe(fc, 60, 3)
		must.Less(t, 1.1, fc.Value(now.Add(40*time.Second)))
	})
	t.Run("changes little after one outlier", func(t *testing.T) {
		fc := calibration.New()
		observe(fc, 1, 100)
		must.Less(t, 1.5, fc.Value(now))
	})
}
