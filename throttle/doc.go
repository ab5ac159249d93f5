// Package throttle keeps the requests from all instances to an upstream within the rate limit that it announces. One instance,
// the owner, issues the permits for an upstream with a limit; the others ask it before each request.
package throttle
