// Package poison decides which parts of prompts crash the upstreams that answer them. Requests share parts, and each request
// that is lost in a crash counts against all of its parts; only the part that causes crashes never has a success.
package poison
