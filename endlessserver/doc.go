// Package endlessserver is a stand-in for tests: a TCP server that sends bytes without end until its peer closes.
package endlessserver
