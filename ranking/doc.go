// Package ranking remembers which instances own what, so that requests need not rank all instances.
//
// Load pattern: hundreds of instances, whose members seldom change, and several lookups of an owner for each request.
package ranking
