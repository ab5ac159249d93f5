// Package revision holds the revision of the document that an instance has in force.
package revision
