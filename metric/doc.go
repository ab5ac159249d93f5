// Package metric names the figures that an instance exposes.
package metric
