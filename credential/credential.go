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

// Files names the files that a Loader reads. Authority is empty if the other side need not present a certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Loader holds the certificate and the authority that were loaded last. Reading them takes no lock.
type Loader struct {
	files   Files
	timers  *timer.Service
	loaded  atomic.Pointer[keyMaterial]
	onError func(error)
}

// keyMaterial is the parsed content of the files, with the newest modification time of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modTime     time.Time
}

// New loads the files. onError is called when a later load fails; the Loader then keeps the previous certificate.
func New(files Files, timers *timer.Service, onError func(error)) (*Loader, error) {
	ld := &Loader{files: files, timers: timers, onError: onError}
	return ld, ld.load()
}

func (ld *Loader) load() error {
	modTime, err := ld.modTime()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(ld.files.Certificate, ld.files.Key)
	if err != nil {
		return oops.With("certificate", ld.files.Certificate, "key", ld.files.Key).Wrap(err)
	}
	fresh := &keyMaterial{certificate: certificate, modTime: modTime}
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
		return nil, oops.Errorf("authority file %q has no certificate in PEM form", path)
	}
	return pool, nil
}

// modTime returns the newest modification time of the files.
func (ld *Loader) modTime() (time.Time, error) {
	newest := time.Time{}
	for _, path := range []string{ld.files.Certificate, ld.files.Key, ld.files.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// Watch reloads changed files until ctx ends, then closes done. Certificate and key are separate files and may be
// replaced one after the other; a pair that does not match yet is tried again at the next check.
func (ld *Loader) Watch(ctx context.Context, interval time.Duration, done chan<- struct{}) {
	defer close(done)
	for ld.timers.Sleep(ctx, interval) == nil {
		modTime, err := ld.modTime()
		if err == nil && modTime.Equal(ld.loaded.Load().modTime) {
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

// ServerConfig returns the TLS configuration of a listener. If an authority is loaded, clients must present a
// certificate that it signed.
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

// ClientConfig returns the TLS configuration of a connection to another instance. Instances are addressed by IP
// addresses that change, so the other side's certificate is verified against the authority but not against a name.
func (ld *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// VerifyConnection verifies the chain; only the check of the host name is left out.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &ld.loaded.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error { return verifyChain(state, ld.loaded.Load().authority) },
	}
}

// verifyChain checks that the certificate of the other side is signed by the authority.
func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: authority, Intermediates: x509.NewCertPool()}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
