// Package drain counts what is in flight on an instance, so that it can stop without cutting anything off.
package drain
