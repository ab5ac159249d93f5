// Package answer defines the final answer to a caller's request.
package answer
