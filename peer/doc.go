// Package peer exchanges heartbeats, gossip, documents, table rows and events between entry instances over gRPC.
package peer
