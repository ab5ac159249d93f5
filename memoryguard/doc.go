// Package memoryguard enforces a memory budget on callers' connections and request bodies: it wraps the listener of a server, closes
// connections, and lets the readers of bodies wait for memory.
package memoryguard
