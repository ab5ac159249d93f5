// Package tombstone holds the incarnations of upstreams whose process has ended although their registration is still there. An
// upstream that answers at such an address is another incarnation, of which nothing is known yet.
package tombstone
