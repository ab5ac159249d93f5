package digest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash"
)

// Sum is a SHA-256 digest.
type Sum [sha256.Size]byte

// Of returns the digest of the parts. Each part is prefixed with its length, so that different lists of parts with the
// same concatenation have different digests.
func Of(parts ...[]byte) Sum {
	return OfBlocks(nil, parts...)
}

// OfBlocks returns the digest of the parts, followed by one more part whose content is that of all blocks, unless blocks is nil.
func OfBlocks(blocks [][]byte, parts ...[]byte) Sum {
	hasher := sha256.New()
	for _, part := range parts {
		writeLength(hasher, len(part))
		hasher.Write(part)
	}
	if blocks != nil {
		length := 0
		for _, block := range blocks {
			length += len(block)
		}
		writeLength(hasher, length)
	}
	for _, block := range blocks {
		hasher.Write(block)
	}
	var sum Sum
	hasher.Sum(sum[:0])
	return sum
}

func writeLength(hasher hash.Hash, length int) {
	var size [8]byte
	for at := range size {
		size[at] = byte(length >> (8 * at))
	}
	hasher.Write(size[:])
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
