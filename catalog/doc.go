// Package catalog publishes the configuration and the upstreams in force, as rows of the platform's tables change.
package catalog
