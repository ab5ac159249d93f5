// Package permit decides which requests may be sent to an upstream that limits the rate of requests from all instances.
//
// Load pattern: eight or seventy-seven instances together have many more requests for an upstream than it accepts. One of
// them, the owner, issues the permits for all; another one takes over when it is gone.
package permit
