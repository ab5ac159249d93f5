// Package throttle keeps the requests to an upstream within what its answers say: the rate that it accepts from all instances
// together, a pause that it asks an instance for, that it is leaving, and how long it is cold. One instance, the owner, issues the
// permits for an upstream that has a rate limit or is cold; the others ask it before each request.
package throttle
