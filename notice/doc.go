// Package notice holds what an answer of an upstream says about the upstream itself, beside the answer to the request.
package notice
