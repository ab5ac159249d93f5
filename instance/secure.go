package instance

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericdoor/turmericdoor/credential"
	"github.com/turmericdoor/turmericdoor/peerlimit"
	"github.com/turmericdoor/turmericdoor/timer"
)

// loadCertificates loads the certificates that the settings name and starts watching their files.
func (in *Instance) loadCertificates() error {
	paths := in.settings.GetTls()
	var err error
	if paths.GetPeerCertificateFile() != "" {
		files := credential.Files{
			Certificate: paths.GetPeerCertificateFile(), Key: paths.GetPeerKeyFile(), Authority: paths.GetPeerAuthorityFile(),
		}
		if in.peerTLS, err = in.loadAndWatch(files); err != nil {
			return err
		}
	}
	if paths.GetCallerCertificateFile() != "" {
		files := credential.Files{Certificate: paths.GetCallerCertificateFile(), Key: paths.GetCallerKeyFile()}
		if in.callerTLS, err = in.loadAndWatch(files); err != nil {
			return err
		}
	}
	return nil
}

// loadAndWatch loads certificate files and reloads them when they change, until the instance ends.
func (in *Instance) loadAndWatch(files credential.Files) (*credential.Loader, error) {
	loader, err := credential.New(files, in.timers, func(err error) { in.logger.Error("certificate not loaded", "err", err) })
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	in.watchers = append(in.watchers, done)
	go loader.Watch(in.lifetime, timer.Milliseconds(in.settings.GetTls().GetReloadIntervalMs()), done)
	return loader, nil
}

// withTLS wraps a listener in TLS if the settings name a certificate for callers.
func (in *Instance) withTLS(listener net.Listener) net.Listener {
	if in.callerTLS == nil {
		return listener
	}
	return tls.NewListener(listener, in.callerTLS.ServerConfig("h2", "http/1.1"))
}

// newPeerServer returns the gRPC server for peers, with TLS if the settings name a certificate for peers.
func (in *Instance) newPeerServer() *grpc.Server {
	if in.peerTLS == nil {
		return grpc.NewServer(peerlimit.ServerOptions()...)
	}
	secure := grpc.Creds(credentials.NewTLS(in.peerTLS.ServerConfig("h2")))
	return grpc.NewServer(append(peerlimit.ServerOptions(), secure)...)
}

// peerCredentials returns the credentials for calls to peers, with TLS if the settings name a certificate for peers.
func (in *Instance) peerCredentials() credentials.TransportCredentials {
	if in.peerTLS == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(in.peerTLS.ClientConfig())
}
