// Package entry assembles an entry instance, which routes the callers' requests through the pipelines of a configuration.
package entry
