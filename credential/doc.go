// Package credential loads certificates and keys from files and takes over replaced files while it runs.
package credential
