// Package runner takes one request through the stages of its pipeline.
package runner
