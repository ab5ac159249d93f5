// Package overload decides at a request's arrival whether it is worth beginning.
//
// Load pattern: a burst beyond what the stage pools carry. Requests that are begun and given up cost stage work and
// their callers' time, so that what is begun should nearly always be served, and most of it on time.
package overload
