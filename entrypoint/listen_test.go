package entrypoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/entry"
	"github.com/turmericdoor/turmericdoor/entrypoint"
	"github.com/turmericdoor/turmericdoor/signals"
)

// adapter is an adapter to a platform that is never asked.
type adapter struct{}

func (adapter) Parts(entry.Settings) entry.Parts     { return entry.Parts{Random: entropy.New(1)} }
func (adapter) Handler(*entry.Instance) http.Handler { return http.NotFoundHandler() }
func (adapter) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return ctx
}
func (adapter) LoadSettings() (entry.Settings, error) { return entry.Settings{}, nil }
func (adapter) SettingsChanged() bool                 { return false }
func (adapter) ApplySettings(entry.Settings)          {}

// TestFailedStartServes guards against a process that could not open all its listeners and serves on some of them.
func TestFailedStartServes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, free.Close())
	settings := entry.Settings{
		CallerAddress: free.Addr().String(), ReadyAddress: taken.Addr().String(), PeerAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
	}
	server := entrypoint.New(adapter{}, settings, log.New(io.Discard))
	received := signals.New()
	defer received.Close()
	must.ErrorContains(t, server.Run(received), "listen on ReadyAddress")
	again, err := net.Listen("tcp", settings.CallerAddress)
	must.NoError(t, err)
	must.NoError(t, again.Close())
}
