// Package attempt tracks the attempts of a request. It ensures that each stage has one result, that the result comes
// from an open attempt, and that a non-idempotent request is dispatched once.
package attempt
