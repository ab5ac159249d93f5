// Package claim decides which attempt may dispatch a non-idempotent request. A claim is a row in the platform's
// table service, written before dispatch. An attempt never takes over a claim that another attempt holds, since
// the holder may be paused between claim and dispatch and may still send the request.
package claim
