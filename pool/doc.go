// Package pool runs the dispatcher of one pool for concurrent callers.
package pool
