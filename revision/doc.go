// Package revision holds the current document of an instance.
package revision
