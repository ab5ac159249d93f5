// Package headroom estimates how many requests a second upstreams have room for which end if they have to reject too many.
//
// Load pattern: all instances together have many more requests for such upstreams than these have room for. One of them, the
// owner of an upstream's permits, gets a report of each rejection.
package headroom
