// Package quarantine records which request contents crashed the upstreams that executed them. A content is identified
// by its digest, so a retry under a new request id is recognised.
package quarantine
