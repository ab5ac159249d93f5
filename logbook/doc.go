// Package logbook writes events to the log asynchronously, so that recording an event never blocks.
package logbook
