package soak_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPortOfACrashedUpstreamIsTaken guards against another process that listens on the port of a crashed upstream.
func TestPortOfACrashedUpstreamIsTaken(t *testing.T) {
	target := newProxy(t, "127.0.0.1:1")
	px := newProxy(t, target.address())
	open, err := net.Dial("tcp", px.address())
	must.NoError(t, err)
	defer open.Close()
	back := make(chan struct{})
	px.crash(100*time.Millisecond, func() { close(back) })
	_, err = net.Dial("tcp", px.address())
	must.True(t, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
	_, err = net.Listen("tcp", px.address())
	must.True(t, errors.Is(err, syscall.EADDRINUSE), must.Sprint(err))
	<-back
	again, err := net.Dial("tcp", px.address())
	must.NoError(t, err)
	must.NoError(t, again.Close())
}
