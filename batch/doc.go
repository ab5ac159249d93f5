// Package batch decides which items of which requests go into one call to an upstream of a stage pool.
//
// Load pattern: a burst of one kind at 2.6 times its rate, with a third of the pool dead or five times slower.
// An upstream works on one call at a time, and a call's fixed time is most of its length: items wait while the
// upstreams are busy, and each call takes as many as there is room for.
package batch
