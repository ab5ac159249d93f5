// Package propertytest tests the system's guarantees: complete instances run over fake upstreams, a fake platform and a
// fake network, in fake time. A test named "the check finds ..." breaks a fake and requires that the check notices.
package propertytest
