// Package dispatch is the decision core of one pool on one instance: it takes requests, answers and the
// time, and says which calls to start and which requests to refuse. It does no I/O and keeps no clock.
package dispatch
