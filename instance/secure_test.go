package instance_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/settings"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(t, err)
	return &authority{t: t, cert: cert, key: key}
}

// issue writes a certificate and its key that are valid until the given time.
func (au *authority) issue(certificate, key string, until time.Time) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(au.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, au.cert, private.Public(), au.key)
	must.NoError(au.t, err)
	encoded, err := x509.MarshalECPrivateKey(private)
	must.NoError(au.t, err)
	writePEM(au.t, key, "EC PRIVATE KEY", encoded)
	writePEM(au.t, certificate, "CERTIFICATE", raw)
}

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// secure configures a cluster with certificates of an authority and a client that trusts the authority.
func secure(au *authority, folder string) func(cl *cluster) {
	return func(cl *cluster) {
		path := func(name string) string { return filepath.Join(folder, name) }
		writePEM(cl.t, path("authority.pem"), "CERTIFICATE", au.cert.Raw)
		au.issue(path("peer.pem"), path("peer.key"), time.Now().Add(time.Hour))
		au.issue(path("caller.pem"), path("caller.key"), time.Now().Add(time.Hour))
		cl.tls = &settings.Tls{
			PeerCertificateFile: path("peer.pem"), PeerKeyFile: path("peer.key"), PeerAuthorityFile: path("authority.pem"),
			CallerCertificateFile: path("caller.pem"), CallerKeyFile: path("caller.key"), ReloadIntervalMs: 50,
		}
		pool := x509.NewCertPool()
		pool.AddCert(au.cert)
		cl.scheme = "https"
		cl.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	}
}

const draftBody = `{"Rank":"Urgent","Input":"a dial"}`

func TestTLS(t *testing.T) {
	folder := t.TempDir()
	au := newAuthority(t)
	withCluster(t, 2, secure(au, folder), func(cl *cluster) {
		t.Run("callers and peers are served over TLS", func(t *testing.T) {
			_, got, err := cl.post(cl.members[1], "draft-commission", "kumasi-guild-key", draftBody)
			must.NoError(t, err)
			must.Eq(t, answer.Answered, got.Outcome)
			cl.eventually("the first instance knows the second", func() bool {
				status := operator.Status{}
				must.NoError(t, cl.operate(cl.members[0], http.MethodGet, "/v1/status", "fleet-key", nil, &status))
				return len(status.Members) == 2
			})
		})
		t.Run("plain text to a TLS port is refused", func(t *testing.T) {
			response, err := http.Get("http://" + cl.members[0].settings.GetInstance().GetCallerAddress() + "/")
			must.NoError(t, err)
			defer response.Body.Close()
			must.Eq(t, http.StatusBadRequest, response.StatusCode)
		})
		t.Run("a peer with a certificate of another authority, an expired one or none is refused", func(t *testing.T) {
			stranger := newAuthority(t)
			stranger.issue(filepath.Join(folder, "x.pem"), filepath.Join(folder, "x.key"), time.Now().Add(time.Hour))
			must.Error(t, handshake(cl, filepath.Join(folder, "x.pem"), filepath.Join(folder, "x.key")))
			au.issue(filepath.Join(folder, "old.pem"), filepath.Join(folder, "old.key"), time.Now().Add(-time.Minute))
			must.Error(t, handshake(cl, filepath.Join(folder, "old.pem"), filepath.Join(folder, "old.key")))
			must.Error(t, handshake(cl, "", ""))
			must.NoError(t, handshake(cl, filepath.Join(folder, "peer.pem"), filepath.Join(folder, "peer.key")))
		})
		t.Run("certificates are replaced under load without a failed request", func(t *testing.T) {
			replaceCertificates(t, cl, au)
		})
	})
}

// handshake connects to the first instance's peer address with a certificate and returns the error, if any.
func handshake(cl *cluster, certificate, key string) error {
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}
	if certificate != "" {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		must.NoError(cl.t, err)
		config.Certificates = []tls.Certificate{pair}
	}
	connection, err := tls.Dial("tcp", cl.members[0].settings.GetInstance().GetPeerAddress(), config)
	if err != nil {
		return err
	}
	defer connection.Close()
	// In TLS 1.3 the client's handshake ends before the server has checked its certificate, so that a refusal is
	// only seen by the first read.
	_, err = connection.Read(make([]byte, 1))
	return err
}

// replaceCertificates replaces the certificate for callers under load and checks that no request fails.
func replaceCertificates(t *testing.T, cl *cluster, au *authority) {
	t.Helper()
	bl := &balancer{cl: cl, ready: cl.ready()}
	ctx, cancel := context.WithCancel(t.Context())
	loaded := make(chan struct{})
	go func() { defer close(loaded); bl.load(ctx) }()
	before := servedSerial(t, cl)
	au.issue(cl.tls.GetCallerCertificateFile(), cl.tls.GetCallerKeyFile(), time.Now().Add(time.Hour))
	cl.eventually("the new certificate is served", func() bool { return servedSerial(t, cl) != before })
	cancel()
	<-loaded
	must.SliceEmpty(t, bl.failures)
	must.Positive(t, bl.succeeded)
}

// servedSerial returns the serial number of the certificate that the first instance presents to callers.
func servedSerial(t *testing.T, cl *cluster) string {
	t.Helper()
	connection, err := tls.Dial("tcp", cl.members[0].settings.GetInstance().GetCallerAddress(), &tls.Config{InsecureSkipVerify: true})
	must.NoError(t, err)
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestKeyRotation adds a second key to an organisation under load and checks that both keys are accepted.
func TestKeyRotation(t *testing.T) {
	withCluster(t, 2, plain, func(cl *cluster) {
		bl := &balancer{cl: cl, ready: cl.ready()}
		ctx, cancel := context.WithCancel(t.Context())
		loaded := make(chan struct{})
		go func() { defer close(loaded); bl.load(ctx) }()
		whole := struct {
			Teams []struct {
				Team, Text string
				Revision   int64
			}
		}{}
		must.NoError(t, cl.operate(cl.members[0], http.MethodGet, "/v1/document", "fleet-key", nil, &whole))
		for _, team := range whole.Teams {
			if team.Team == "platform" {
				old := digest.OfKey("kumasi-guild-key").String()
				both := strings.Replace(team.Text, old, old+", "+digest.OfKey("fresh-key").String(), 1)
				must.Eq(t, "Accepted", cl.put("platform", team.Revision, both, "platform-team-key").Outcome)
			}
		}
		cl.eventually("both instances accept the new key", func() bool {
			_, first, _ := cl.post(cl.members[0], "draft-commission", "fresh-key", draftBody)
			_, second, _ := cl.post(cl.members[1], "draft-commission", "fresh-key", draftBody)
			return first.Outcome == answer.Answered && second.Outcome == answer.Answered
		})
		cancel()
		<-loaded
		must.SliceEmpty(t, bl.failures)
	})
}
