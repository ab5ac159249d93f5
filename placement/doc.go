// Package placement chooses the upstream that runs a request.
//
// Load pattern: a hot session, an engine that is five times slower or fails part of its requests, and many
// instances that choose at the same moment without knowing of each other.
package placement
