// Package tableservice is the client of the platform's table service and instance list, which use JSON over HTTP.
package tableservice
