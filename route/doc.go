// Package route holds the pipelines of a configuration and matches requests to them.
package route
