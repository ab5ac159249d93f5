// Package gateway takes a caller's request through the stages of its pipeline to an upstream, and the answer back.
package gateway
