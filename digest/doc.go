// Package digest computes SHA-256 digests, by which keys and contents are identified.
package digest
