// Package order decides when an engine is told which model and adapters to hold. At most one instance may do
// so at a time, by a lease; its number goes along as fencing number, which not every engine checks.
package order
