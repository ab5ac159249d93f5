// Package instancecore puts the parts of an entry instance together, apart from its sockets, so that the same
// instance runs in a process and over fakes.
package instancecore
