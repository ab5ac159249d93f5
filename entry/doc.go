// Package entry assembles an entry instance that serves pipelines of a routed configuration.
package entry
