// Package subset selects the upstreams of a large pool that each instance uses. With few instances calling it, an
// upstream's load can be estimated well from an instance's own calls and the load reported with its answers.
package subset
