// Package limit determines how many calls one instance may have in flight on one upstream. It needs no
// communication with other instances besides their number.
package limit
