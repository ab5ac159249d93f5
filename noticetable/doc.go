// Package noticetable holds what the answers of upstreams have said of the upstreams, as far as it concerns all instances, and
// merges it with what other instances know.
//
// Load pattern: many instances learn of a limit, of its change and of its end at different moments; the newest wins.
package noticetable
