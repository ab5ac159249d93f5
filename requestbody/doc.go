// Package requestbody holds a request's body in blocks of memory, which each attempt reads from their start, and which are reused after the last one.
package requestbody
