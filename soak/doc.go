// Package soak runs real processes under random faults and checks the system's guarantees from what callers and upstreams
// observe.
package soak
