// Package order contains the reconciler that decides when to order an engine to load a model and adapters. Only the
// holder of a lease may send orders; each order carries the lease's fencing token, which not every engine checks.
package order
