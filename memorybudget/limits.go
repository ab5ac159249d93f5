package memorybudget

import (
	"math"
	"time"
)

// Limits bounds what all callers of a process may hold together.
type Limits struct {
	// BodyBytes is the memory for bodies; ShortBytes of it is reserved for bodies of at most ShortBody bytes.
	BodyBytes  int64
	ShortBytes int64
	// HeadBytes is the memory for the heads of requests that are not complete; a head takes HeadWeight times its bytes.
	HeadBytes int64
	// Connections is the maximum number of connections.
	Connections int
}

// CallerLimits bounds a single request or connection; the zero value of a field means that there is no limit.
type CallerLimits struct {
	HeadBytes   int64
	BodyBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

const (
	// ShortBody is the maximum length of a short body, in bytes.
	ShortBody = 64 << 10
	// FirstBytes is the memory that a body of unknown length may take before it counts as long.
	FirstBytes = 4 << 10
	// HeadWeight is the memory that a byte of a request head takes: short fields take up to 20 times their length once parsed.
	HeadWeight = 16
	// headSlack is how many bytes that follow a head may be read together with it: the buffer of net/http has 4 KiB.
	headSlack = 4 << 10

	// The memory of the process divided by bodyDivisor is for bodies; that divided by shortBodyDivisor is reserved for short ones.
	bodyDivisor      = 6
	shortBodyDivisor = 8
	// The memory of the process divided by headDivisor is for incomplete heads, but at least minHeads of defaultHeadBytes must fit.
	headDivisor      = 16
	minHeads         = 8
	defaultHeadBytes = 16 << 10
	// The memory of the process divided by connectionDivisor is for connections of connectionBytes each: an idle one takes two buffers of
	// 4 KiB, a stack of 8 KiB and some structures.
	connectionDivisor = 4
	connectionBytes   = 24 << 10
	// reservedDescriptors are not for connections. Callers get two thirds of the others; the rest is for upstreams and instances.
	reservedDescriptors = 200
	minConnections      = 16
	// minLongestBodies is how many bodies of the greatest legal length must fit at once.
	minLongestBodies = 2
)

// unlimited is more than any process has, and small enough for sums not to overflow.
const unlimited = math.MaxInt64 / 4

// LimitsOf returns the limits of a process that may use so many bytes of memory and so many descriptors; 0 means that there is no limit.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	limits := Limits{BodyBytes: unlimited, HeadBytes: unlimited, Connections: math.MaxInt}
	if memoryBytes > 0 {
		limits = limits.WithBodies(memoryBytes / bodyDivisor)
		limits.HeadBytes = max(memoryBytes/headDivisor, minHeads*HeadWeight*(defaultHeadBytes+headSlack))
		limits.Connections = max(int(memoryBytes/connectionDivisor/connectionBytes), minConnections)
	}
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, max((descriptors-reservedDescriptors)*2/3, minConnections))
	}
	return limits
}

// WithBodies returns a copy of the limits with this memory for bodies, in bytes.
func (lm Limits) WithBodies(bytes int64) Limits {
	lm.BodyBytes, lm.ShortBytes = bytes, bytes/shortBodyDivisor
	return lm
}
