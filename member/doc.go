// Package member implements one instance's view of the membership, with a failure detector in the manner of SWIM. Each
// instance monitors a few partners, so that its message rate does not depend on the number of instances.
package member
