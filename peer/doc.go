// Package peer carries heartbeats, news, documents and events between entry instances over gRPC.
package peer
