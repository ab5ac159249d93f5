package calibration

import (
	"math"
	"time"
)

// Factor is how many times longer than forecast things take; it is not safe for concurrent use.
type Factor struct {
	value  float64
	seenAt time.Time
}

const (
	// leastWeight and mostWeight bound the weight of the newest outcome, which grows with the time since the last one
	// by memory: instances that see few outcomes would else lag behind.
	leastWeight = 0.1
	mostWeight  = 0.3
	memory      = time.Second
	// halfLife is the time in which a factor loses half of its distance from 1 while nothing is seen.
	halfLife = 6 * time.Second
	// least and most bound the factor.
	least = 0.7
	most  = 4
)

// New returns a factor of 1.
func New() *Factor {
	return &Factor{value: 1}
}

// Value returns the factor at a time.
func (fc *Factor) Value(now time.Time) float64 {
	age := float64(now.Sub(fc.seenAt)) / float64(halfLife)
	return 1 + (fc.value-1)*math.Exp2(-age)
}

// Observe takes the outcome of a forecast that was corrected by applied when it was made.
func (fc *Factor) Observe(now time.Time, forecast, actual time.Duration, applied float64) {
	if forecast <= 0 || applied <= 0 {
		return
	}
	seen := min(max(float64(actual)/float64(forecast)*applied, least), most)
	weight := leastWeight
	if !fc.seenAt.IsZero() {
		weight = min(max(1-math.Exp2(-float64(now.Sub(fc.seenAt))/float64(memory)), leastWeight), mostWeight)
	}
	fc.value = fc.Value(now)*(1-weight) + seen*weight
	fc.seenAt = now
}

// Apply corrects a forecast.
func (fc *Factor) Apply(now time.Time, forecast time.Duration) time.Duration {
	return time.Duration(float64(forecast) * fc.Value(now))
}
