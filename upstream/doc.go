// Package upstream calls engines, stage pools and plain services over HTTP and says how each call ended.
package upstream
