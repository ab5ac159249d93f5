// Package peerlimit bounds what another process may send on a gRPC connection between instances.
package peerlimit
