// Package lease decides when an instance may act as the single holder of something, by a row of the
// platform's table service and its own clock.
package lease
