// Package gossip holds what instances tell each other besides membership: which upstreams are leaving and
// which requests crashed upstreams.
package gossip
