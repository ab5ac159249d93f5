// Package poison decides which parts of prompts crash the upstreams that answer them. Requests share parts, and a crash
// accuses all parts of the requests that were lost with it; what sets a part apart is that no answer to it survives.
package poison
