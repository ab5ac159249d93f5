// Package response holds the response to one request as its caller receives it.
package response
