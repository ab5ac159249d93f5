// Package claim decides who may dispatch a non-idempotent request. A claim is a row of the platform's table
// service, made before dispatch; whoever finds a claim of another never takes it over, since its holder may
// be paused between claim and dispatch.
package claim
