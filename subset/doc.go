// Package subset gives each instance a part of a large pool's upstreams, so that an upstream has few callers,
// which can tell its load from their own calls and its answers.
package subset
