// Package requestbody holds a request's body in blocks of memory, which are read again for each attempt and reused afterwards.
package requestbody
