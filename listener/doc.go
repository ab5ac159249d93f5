// Package listener opens the TCP listeners of a process, all or none.
package listener
