// Package pause decides which requests may be sent to upstreams that have asked this instance for a pause.
//
// Load pattern: an upstream in need rejects all that comes, asks each instance for a pause, and would be flooded anew if all of
// them sent at the moment at which it ends.
package pause
