// Package pool runs the dispatcher of one pool for concurrent requests.
package pool
