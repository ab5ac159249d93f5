package memorybudget

import (
	"math"
	"time"
)

// Limits bounds what all callers of a process may hold together.
type Limits struct {
	// BodyBytes is the memory for bodies; ShortBytes of it is kept for bodies of at most ShortBody bytes.
	BodyBytes  int64
	ShortBytes int64
	// HeadBytes is the memory for request heads, each weighed with HeadWeight, whose requests are not complete.
	HeadBytes int64
	// Connections is the number of connections.
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
	// ShortBody is the length up to which a body counts as short, in bytes.
	ShortBody = 64 << 10
	// FirstBytes is what a body of unknown length may take before it counts as long, in bytes.
	FirstBytes = 4 << 10
	// HeadWeight is the memory that a byte of a request head takes: short fields take up to 20 times their length once parsed.
	HeadWeight = 16
	// headSlack is how many bytes after a head may be read together with it: the size of the buffer of net/http.
	headSlack = 4 << 10

	// bodyShare is the part of the memory for bodies, shortShare the part of that for short ones: 1 in 6 and 1 in 8.
	bodyShare  = 6
	shortShare = 8
	// headShare is the part of the memory for incomplete heads, 1 in 16, but at least minHeads of the longest legal heads.
	headShare   = 16
	minHeads    = 8
	defaultHead = 16 << 10
	// connectionShare is the part of the memory for connections, 1 in 4; an idle one takes two buffers of 4 KiB, a stack of 8 KiB and
	// some structures.
	connectionShare = 4
	connectionBytes = 24 << 10
	// reservedDescriptors are not for connections. Callers get two thirds of the others; the rest is for upstreams and instances.
	reservedDescriptors = 200
	minConnections      = 16
	// longestBodies is how many bodies of the greatest legal length must fit at once.
	longestBodies = 2
)

// unlimited is a number of bytes that is never reached.
const unlimited = math.MaxInt64 / 4

// LimitsOf returns the limits of a process with a memory and a number of descriptors; 0 means that it has no limit.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	limits := Limits{BodyBytes: unlimited, HeadBytes: unlimited, Connections: math.MaxInt}
	if memoryBytes > 0 {
		limits = limits.WithBodies(memoryBytes / bodyShare)
		limits.HeadBytes = max(memoryBytes/headShare, minHeads*HeadWeight*(defaultHead+headSlack))
		limits.Connections = max(int(memoryBytes/connectionShare/connectionBytes), minConnections)
	}
	if descriptors > 0 {
		limits.Connections = min(limits.Connections, max((descriptors-reservedDescriptors)*2/3, minConnections))
	}
	return limits
}

// WithBodies returns the limits with another memory for bodies.
func (lm Limits) WithBodies(bytes int64) Limits {
	lm.BodyBytes, lm.ShortBytes = bytes, bytes/shortShare
	return lm
}
