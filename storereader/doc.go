// Package storereader decides which instances read the platform's store on behalf of all others.
//
// Load pattern: every change would be read by every instance, which grows with the square of the fleet while
// upstreams and instances are started together.
package storereader
