// Package credential loads TLS certificates and keys from files and reloads them when the files change.
package credential
