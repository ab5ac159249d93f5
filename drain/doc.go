// Package drain counts the requests in flight on an instance, for a graceful shutdown.
package drain
