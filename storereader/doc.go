// Package storereader decides which instance reads the platform's store at a time, for all others.
//
// Load pattern: if every instance read every change, the reads would grow with the square of the fleet while upstreams and
// instances start together. If the same few always read, all others are out of date for as long as they take to notice that those are
// cut off, frozen, slow, or served by a replica that is behind.
package storereader
