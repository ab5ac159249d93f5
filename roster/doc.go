// Package roster tracks the registered upstreams and which of them may receive new requests.
package roster
