package credential

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/turmericdoor/turmericdoor/timer"
)

// Files names what a Loader loads; Authority is empty where the other side need not show a certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Loader holds the newest certificate and authority; reading them takes no lock.
type Loader struct {
	files   Files
	timers  *timer.Service
	loaded  atomic.Pointer[keyMaterial]
	onError func(error)
}

// keyMaterial is what was read from the files, and when they were last changed.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modTime     time.Time
}

// New loads the files; failed is told when a later load fails, after which the former material stays in use.
func New(files Files, timers *timer.Service, failed func(error)) (*Loader, error) {
	ld := &Loader{files: files, timers: timers, onError: failed}
	return ld, ld.load()
}

func (ld *Loader) load() error {
	changed, err := ld.modTime()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(ld.files.Certificate, ld.files.Key)
	if err != nil {
		return oops.With("certificate", ld.files.Certificate, "key", ld.files.Key).Wrap(err)
	}
	fresh := &keyMaterial{certificate: certificate, modTime: changed}
	if ld.files.Authority != "" {
		if fresh.authority, err = loadAuthority(ld.files.Authority); err != nil {
			return err
		}
	}
	ld.loaded.Store(fresh)
	return nil
}

func loadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, oops.Errorf("%s holds no certificate in PEM form", path)
	}
	return pool, nil
}

// modTime returns when the newest of the files was written.
func (ld *Loader) modTime() (time.Time, error) {
	newest := time.Time{}
	for _, path := range []string{ld.files.Certificate, ld.files.Key, ld.files.Authority} {
		if path == "" {
			continue
		}
		state, err := os.Stat(path)
		if err != nil {
			return newest, err
		}
		if state.ModTime().After(newest) {
			newest = state.ModTime()
		}
	}
	return newest, nil
}

// Watch loads replaced files until ctx ends; done is closed then. Certificate and key are two files: a pair
// that does not fit yet is tried again at the next look.
func (ld *Loader) Watch(ctx context.Context, interval time.Duration, done chan<- struct{}) {
	defer close(done)
	for ld.timers.Sleep(ctx, interval) == nil {
		changed, err := ld.modTime()
		if err == nil && changed.Equal(ld.loaded.Load().modTime) {
			continue
		}
		if err == nil {
			err = ld.load()
		}
		if err != nil {
			ld.onError(err)
		}
	}
}

// ServerConfig returns the configuration of a listener; with an authority, callers must show a certificate of it.
func (ld *Loader) ServerConfig(protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := ld.loaded.Load()
		config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{current.certificate}}
		if current.authority != nil {
			config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, current.authority
		}
		return config, nil
	}
	return base
}

// ClientConfig returns the configuration of a connection to another instance. Instances are known by IP numbers
// that change, so that the other side's certificate is held against the authority and not against a name.
func (ld *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The chain is verified below; only the comparison with a host name is left out.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &ld.loaded.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return verifyChain(state, ld.loaded.Load().authority) },
	}
}

func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: authority, Intermediates: x509.NewCertPool()}
	for _, one := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(one)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
