package entropy

import (
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source draws numbers; it is safe for concurrent use.
type Source struct {
	mu     sync.Mutex
	seed   uint64
	random *rand.Rand
}

// New returns a source that starts from a seed.
func New(seed uint64) *Source {
	return &Source{seed: seed, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("turmericdoor")))}
}

// NewRandom returns a source that no one can repeat.
func NewRandom() *Source {
	return New(rand.Uint64())
}

// Fork returns a source of its own for a part, so that the parts' draws do not depend on each other.
func (sc *Source) Fork(part string) *Source {
	return New(sc.seed ^ xxhash.Sum64String(part))
}

// Generator returns a generator for a part that is not used concurrently.
func (sc *Source) Generator(part string) *rand.Rand {
	return rand.New(rand.NewPCG(sc.seed, xxhash.Sum64String(part)))
}

// IntN returns a number from 0 to limit-1; limit must be positive.
func (sc *Source) IntN(limit int) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.random.IntN(limit)
}

// DurationUpTo returns a duration from 0 to longest, which must not be negative.
func (sc *Source) DurationUpTo(longest time.Duration) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return time.Duration(sc.random.Int64N(int64(longest) + 1))
}

// NewID returns 32 hexadecimal digits that no other draw returns.
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
