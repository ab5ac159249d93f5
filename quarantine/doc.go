// Package quarantine remembers which requests crashed the upstreams that ran them. Requests are known by
// a digest of their content, so that a new request id makes no difference.
package quarantine
