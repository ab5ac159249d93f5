package instance_test

import (
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/instance"
	"github.com/turmericdoor/turmericdoor/schema/settings"
)

// TestFailedStartKeepsListener guards against an instance that could not start and still accepts connections.
func TestFailedStartKeepsListener(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer taken.Close()
	own := &settings.Instance{
		Id: "entry", FailureDomain: "a", CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: taken.Addr().String(),
	}
	in := instance.New(&settings.Settings{Instance: own, Operators: &settings.Operators{}, Peers: &settings.Peers{}, Limits: &settings.Limits{}}, log.New(io.Discard))
	must.ErrorContains(t, in.Run(t.Context()), "listen on PeerAddress")
	for _, address := range []string{own.GetCallerAddress(), own.GetOperatorAddress()} {
		again, err := net.Listen("tcp", address)
		must.NoError(t, err)
		must.NoError(t, again.Close())
	}
}
