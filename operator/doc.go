// Package operator is the HTTP interface for operators: the document, leaving and stopping, status, the time
// line, metrics and health.
package operator
