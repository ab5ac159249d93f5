// Package promise holds the proofs of what must always hold: whole instances over small fakes and fake time.
package promise
