// Package reach decides whether an instance connects to upstreams itself or through another instance.
//
// Load pattern: some instances are cut off from all upstreams, or from a few, while callers and the other instances still reach
// them.
package reach
