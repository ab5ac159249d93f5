// Package rawserver is a stand-in for tests: an HTTP server whose answers are bytes as they stand.
package rawserver
