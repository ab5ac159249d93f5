// Package operator serves the HTTP interface for operators: edits of the document, departures of upstreams, stop
// requests, status, the timeline, metrics and health checks.
package operator
