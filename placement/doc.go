// Package placement selects the upstream that executes a request.
//
// Load pattern: a hot session, an engine that is five times slower or fails part of its requests, and many
// instances that select at the same moment without knowing of each other.
package placement
