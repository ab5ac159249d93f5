// Package inflight counts calls that run in the background.
package inflight
