// Package ratetable holds the rate limits of upstreams that an instance knows, and merges them with those of others.
//
// Load pattern: many instances learn of a limit, of its change and of its end at different moments; the newest wins.
package ratetable
