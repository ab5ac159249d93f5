// Package instancecore assembles the components of an entry instance except its sockets, so that the same code
// runs in production and in tests over fakes.
package instancecore
