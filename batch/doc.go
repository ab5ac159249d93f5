// Package batch schedules the items of many requests into batched calls to the upstreams of a stage pool.
//
// Load pattern: a burst of one kind of request at 2.6 times its usual rate, with a third of the pool dead or five times
// slower. An upstream works on one call at a time, and the fixed time of a call is most of its duration: items wait
// while the upstreams are busy, and each call then takes as many items as fit.
package batch
