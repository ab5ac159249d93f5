// Package caller serves the HTTP interface for callers: requests are JSON, answers are JSON or server-sent events.
package caller
