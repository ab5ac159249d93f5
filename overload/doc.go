// Package overload decides on a request's arrival whether to admit it.
//
// Load pattern: a burst beyond the capacity of the stage pools. Requests that are admitted and later abandoned waste
// stage work and their callers' time, so nearly all admitted requests should be served, and most of them on time.
package overload
