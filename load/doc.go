// Package load is an open-loop load generator: it sends requests at configured rates regardless of
// responses, and reports their outcomes and latencies.
package load
