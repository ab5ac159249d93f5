// Package entrypoint runs an entry instance: it opens the listeners, reloads the settings and shuts down gracefully.
package entrypoint
