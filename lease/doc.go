// Package lease implements leases, each held by at most one instance at a time. The state of a lease is a row in the
// platform's table service; each instance measures expiry with its own clock.
package lease
