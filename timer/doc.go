// Package timer is the one source of time: parts subscribe to it and never read the clock themselves.
package timer
