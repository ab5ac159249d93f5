// Package invariant asserts the promises inside the running program and stops the process on a breach.
package invariant
