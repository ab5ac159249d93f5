// Package watch keeps a replica of one table up to date, from the platform's store and from other instances.
package watch
