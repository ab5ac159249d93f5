// Package invariant checks invariants in the running program and ends the process if one is violated.
package invariant
