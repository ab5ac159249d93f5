// Package soak runs real processes under random faults and checks their promises from what callers and upstreams see.
package soak
