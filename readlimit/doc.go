// Package readlimit reads the answers of other processes up to a limit.
package readlimit
