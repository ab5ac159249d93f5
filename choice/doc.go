// Package choice picks the upstream for a call from what one instance knows: its own calls in flight, the
// load that answers reported, latency, distance, and where a prompt's prefix was computed before.
package choice
