package instance

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericdoor/turmericdoor/credential"
	"github.com/turmericdoor/turmericdoor/timer"
)

// loadCertificates loads the certificates that the settings name and watches their files.
func (in *Instance) loadCertificates() error {
	named := in.settings.GetTls()
	var err error
	if named.GetPeerCertificateFile() != "" {
		files := credential.Files{
			Certificate: named.GetPeerCertificateFile(), Key: named.GetPeerKeyFile(), Authority: named.GetPeerAuthorityFile(),
		}
		if in.peerTLS, err = in.loadAndWatch(files); err != nil {
			return err
		}
	}
	if named.GetCallerCertificateFile() != "" {
		files := credential.Files{Certificate: named.GetCallerCertificateFile(), Key: named.GetCallerKeyFile()}
		if in.callerTLS, err = in.loadAndWatch(files); err != nil {
			return err
		}
	}
	return nil
}

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

// withTLS puts TLS on a listener if the settings ask for it.
func (in *Instance) withTLS(listener net.Listener) net.Listener {
	if in.callerTLS == nil {
		return listener
	}
	return tls.NewListener(listener, in.callerTLS.ServerConfig("h2", "http/1.1"))
}

func (in *Instance) newPeerServer() *grpc.Server {
	if in.peerTLS == nil {
		return grpc.NewServer()
	}
	return grpc.NewServer(grpc.Creds(credentials.NewTLS(in.peerTLS.ServerConfig("h2"))))
}

func (in *Instance) peerCredentials() credentials.TransportCredentials {
	if in.peerTLS == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(in.peerTLS.ClientConfig())
}
