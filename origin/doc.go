// Package origin holds which upstreams began each stream: their pool and the version of their software. What two versions
// write does not fit together, so that a stream goes on only where it began.
//
// Load pattern: thousands of streams a second, of which a few break and are taken up again within seconds.
package origin
