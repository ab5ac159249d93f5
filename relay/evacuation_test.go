package relay_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestEvacuatedUpstream guards against new connections to upstreams of an evacuated failure domain through an instance that knows of the
// evacuation, and against an instance that takes such an upstream for ended, or its helper for one that can't help.
func TestEvacuatedUpstream(t *testing.T) {
	accept := func(connection *net.TCPConn) { _ = connection.Close() }
	evacuated, other := newUpstream(t, accept), newUpstream(t, accept)
	cut, _ := pairWith(t, true, evacuated, other)
	_, err := cut.DialUpstream(t.Context(), evacuated)
	must.Error(t, err)
	connection, err := cut.DialUpstream(t.Context(), other)
	must.NoError(t, err)
	must.NoError(t, connection.Close())
	must.Eq(t, 1, cut.Relayed())
}
