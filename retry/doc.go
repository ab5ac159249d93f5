// Package retry bounds retries and hedges by a budget that successes fill, and spaces them by full jitter.
package retry
