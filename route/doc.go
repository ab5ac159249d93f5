// Package route holds the pipelines that a configuration serves and selects one for each request.
package route
