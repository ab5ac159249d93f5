package calibration

import (
	"math"
	"time"
)

// Factor is the moving average of actual durations over their forecasts; it is not safe for concurrent use.
type Factor struct {
	value      float64
	observedAt time.Time
}

const (
	// minWeight and maxWeight bound the weight of the newest observation. It grows with the time since the last one, by
	// weightHalfLife: otherwise, the factor would lag on instances with few observations.
	minWeight      = 0.1
	maxWeight      = 0.3
	weightHalfLife = time.Second
	// halfLife is the time in which a factor loses half of its distance from 1 without observations.
	halfLife = 6 * time.Second
	// minRatio and maxRatio bound each observed ratio.
	minRatio = 0.7
	maxRatio = 4
)

// New returns a factor of 1.
func New() *Factor {
	return &Factor{value: 1}
}

// Value returns the factor at a time, decayed towards 1 since the last observation.
func (fc *Factor) Value(now time.Time) float64 {
	age := float64(now.Sub(fc.observedAt)) / float64(halfLife)
	return 1 + (fc.value-1)*math.Exp2(-age)
}

// Observe updates the factor with the actual duration of a forecast that includes the factor applied.
func (fc *Factor) Observe(now time.Time, forecast, actual time.Duration, applied float64) {
	if forecast <= 0 || applied <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(forecast)*applied, minRatio), maxRatio)
	weight := minWeight
	if !fc.observedAt.IsZero() {
		weight = min(max(1-math.Exp2(-float64(now.Sub(fc.observedAt))/float64(weightHalfLife)), minWeight), maxWeight)
	}
	fc.value = fc.Value(now)*(1-weight) + ratio*weight
	fc.observedAt = now
}

// Apply returns a forecast multiplied by the factor.
func (fc *Factor) Apply(now time.Time, forecast time.Duration) time.Duration {
	return time.Duration(float64(forecast) * fc.Value(now))
}
