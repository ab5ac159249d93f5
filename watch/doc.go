// Package watch keeps a replica of one table current, from the platform's store and from other instances.
package watch
