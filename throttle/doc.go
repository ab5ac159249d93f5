// Package throttle keeps the requests to an upstream within what its answers say: the rate that it accepts from all instances
// together, a pause that it asks an instance for, that it is leaving, and how long it is cold. One instance, the owner, issues the permits for an
// upstream with a rate limit or a cold one; the others ask it before each request.
package throttle
