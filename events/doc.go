// Package events cuts a stream of server-sent events into whole ones.
package events
