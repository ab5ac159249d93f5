// Package upstream sends calls to upstreams (engines, stage pools and plain services) over HTTP and classifies how
// each call ended.
package upstream
