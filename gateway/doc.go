// Package gateway routes a caller's request through the stages of its pipeline to an upstream and returns the
// upstream's response.
package gateway
