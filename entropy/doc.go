// Package entropy is the one source of chance: a seed gives the same draws again, so that a run can be repeated.
package entropy
