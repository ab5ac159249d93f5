// Package roster holds the upstreams that are registered, and which of them may get work.
package roster
