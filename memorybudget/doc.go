// Package memorybudget divides the memory of a process among the connections and requests of callers: how many connections
// there may be, and how many bytes incomplete request heads and request bodies may take. It only makes decisions and does no I/O.
package memorybudget
