// Package timer provides the time and timers. Other packages use it instead of the system clock, so that tests control
// the time.
package timer
