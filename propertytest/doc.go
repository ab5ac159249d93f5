// Package propertytest holds the proofs of what must always hold: whole instances over small fakes and fake time.
package propertytest
