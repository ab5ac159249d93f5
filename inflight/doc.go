// Package inflight tracks calls that run in the background, so that a shutdown can wait for them.
package inflight
