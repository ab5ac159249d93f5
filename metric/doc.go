// Package metric defines the metrics that an instance exposes.
package metric
