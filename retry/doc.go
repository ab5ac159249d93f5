// Package retry limits retries and hedges by a budget that grows with successful calls, and computes the backoff
// before a retry with full jitter.
package retry
