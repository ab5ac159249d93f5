// Package relay connects an instance that is cut off from upstreams to them through other instances, byte for byte: an answer that
// breaks off does so for both, and a request is sent to one upstream only.
package relay
