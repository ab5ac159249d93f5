// Package replica keeps a copy of one table of the platform's store and tells what changed in it.
package replica
