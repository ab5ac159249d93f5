// Package entrypoint opens the sockets of an entry instance, follows its settings file and stops it gracefully.
package entrypoint
