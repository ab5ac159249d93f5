// Package instance runs an entry instance with its HTTP and gRPC servers, from start to graceful shutdown.
package instance
