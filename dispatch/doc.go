// Package dispatch decides, for one pool on one instance, which calls to start and which requests to refuse. It
// does no I/O and reads no clock: callers pass requests, call results and the current time, and carry out the
// actions that are returned.
package dispatch
