// Package member is one instance's view of the others: who is there, who is suspected, who is gone. Each
// instance watches a few partners, so that its messages stay the same however many instances there are.
package member
