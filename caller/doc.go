// Package caller is the HTTP interface for callers: JSON in, JSON or server-sent events out.
package caller
