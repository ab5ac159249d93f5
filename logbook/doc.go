// Package logbook writes events to the log without ever holding up who records them.
package logbook
