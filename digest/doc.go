// Package digest computes the SHA-256 digests that keys and contents are known by.
package digest
