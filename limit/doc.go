// Package limit decides how many calls one instance may have in flight on one upstream, without
// asking the other instances.
package limit
