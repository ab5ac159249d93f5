package digest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Sum is a SHA-256 digest.
type Sum [sha256.Size]byte

// Of returns the digest of the parts. Each part is prefixed with its length, so that different lists of parts with the
// same concatenation have different digests.
func Of(parts ...[]byte) Sum {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		for at := range size {
			size[at] = byte(len(part) >> (8 * at))
		}
		hash.Write(size[:])
		hash.Write(part)
	}
	var sum Sum
	hash.Sum(sum[:0])
	return sum
}

// OfKey returns the SHA-256 of a key without a length prefix, as `sha256sum` computes it.
func OfKey(key string) Sum {
	return sha256.Sum256([]byte(key))
}

// Parse parses the 64 hexadecimal digits of a digest, and reports whether text consists of exactly these.
func Parse(text string) (Sum, bool) {
	var sum Sum
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(sum) {
		return Sum{}, false
	}
	copy(sum[:], raw)
	return sum, true
}

// Equal reports whether two digests are equal, in constant time.
func (sm Sum) Equal(other Sum) bool {
	return subtle.ConstantTimeCompare(sm[:], other[:]) == 1
}

// String returns the digest as 64 hexadecimal digits.
func (sm Sum) String() string {
	return hex.EncodeToString(sm[:])
}
