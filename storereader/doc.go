// Package storereader selects the instances that read the platform's store on behalf of all others.
//
// Load pattern: if every instance read every change, the reads would grow with the square of the fleet while upstreams and
// instances start together.
package storereader
