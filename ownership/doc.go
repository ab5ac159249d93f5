// Package ownership ranks the instances as owners of what only one of them may decide, such as the batches of a pool.
//
// Load pattern: instances come and go; those that know the same members agree on the owner without asking each other.
package ownership
