// Package catalog publishes the current configuration and upstreams from the rows of the platform's tables.
package catalog
