// Package gossip holds the state that instances gossip besides the membership: leaving upstreams and request contents
// that crashed upstreams.
package gossip
