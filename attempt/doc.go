// Package attempt keeps a request's stage results apart: one result a stage, from an attempt that is current.
package attempt
