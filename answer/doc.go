// Package answer is what a caller is told in the end.
package answer
