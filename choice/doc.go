// Package choice picks the upstream for a call. It uses only what one instance knows: its own calls in flight,
// the load that upstreams report with their answers, service times, failure domains, and the upstreams that have
// computed a prompt's prefix before.
package choice
