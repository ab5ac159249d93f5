// Package entropy is the only source of random numbers. The same seed produces the same numbers, so that a run can be
// repeated.
package entropy
