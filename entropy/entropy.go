package entropy

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source is a seeded random number generator; it is safe for concurrent use.
type Source struct {
	mu     sync.Mutex
	seed   uint64
	random *rand.Rand
}

// New returns a source with the given seed.
func New(seed uint64) *Source {
	return &Source{seed: seed, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("turmericdoor")))}
}

// NewRandom returns a source with a random seed.
func NewRandom() *Source {
	return New(rand.Uint64())
}

// Fork returns a new source whose seed is derived from this source's seed and part. Draws from one source do not change
// those from another.
func (sc *Source) Fork(part string) *Source {
	return New(sc.seed ^ xxhash.Sum64String(part))
}

// Generator returns a generator seeded from this source's seed and part; it is not safe for concurrent use.
func (sc *Source) Generator(part string) *rand.Rand {
	return rand.New(rand.NewPCG(sc.seed, xxhash.Sum64String(part)))
}

// IntN returns a random number from 0 to limit-1; limit must be positive.
func (sc *Source) IntN(limit int) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.random.IntN(limit)
}

// DurationUpTo returns a random duration from 0 to maximum, inclusive; maximum must not be negative.
func (sc *Source) DurationUpTo(maximum time.Duration) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return time.Duration(sc.random.Int64N(int64(maximum) + 1))
}

// NewID returns a random 128-bit identifier as 32 hexadecimal digits.
func (sc *Source) NewID() string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var raw [16]byte
	for at := 0; at < len(raw); at += 8 {
		word := sc.random.Uint64()
		for shift := range 8 {
			raw[at+shift] = byte(word >> (8 * shift))
		}
	}
	return hex.EncodeToString(raw[:])
}
