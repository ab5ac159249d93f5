// Package replica holds a copy of one table of the platform's store and computes its changes.
package replica
