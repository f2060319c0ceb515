package certifier_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/certifier"
	"primrosespar.example/primrosespar/internal/member/messenger"
	"primrosespar.example/primrosespar/internal/service/tabler"
)

// authority is a certificate authority that signs the certificates of hosts.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := authority{key: key, certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &key.PublicKey, key)
	require.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return a
}

func (a authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// issue signs a certificate for the IP address and writes the three PEM files
// to the directory.
func (a authority) issue(t *testing.T, dir string, serial int64, ip string) certifier.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	privateKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := certifier.Files{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"), Authority: filepath.Join(dir, "ca.pem"),
	}
	for name, data := range map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: privateKey}),
		files.Authority:   a.pem(),
	} {
		require.NoError(t, os.WriteFile(name, data, 0o600))
	}
	return files
}

// serial returns the serial number of the certificate that callers receive.
func serial(t *testing.T, c *certifier.Certifier) int64 {
	certificate, err := c.Public().GetCertificate(nil)
	require.NoError(t, err)
	return certificate.Leaf.SerialNumber.Int64()
}

// TestReload guards against keys that change only with a restart, against an
// unusable file that replaces working keys, and against one that is reported at
// every check or never.
func TestReload(t *testing.T) {
	defer goleak.VerifyNone(t)
	signer, dir := newAuthority(t), t.TempDir()
	clock := clockwork.NewFakeClock()
	failed := make(chan error, 10)
	c, err := certifier.New(signer.issue(t, dir, 1, "127.0.0.1"), certifier.WithClock(clock),
		certifier.WithPeriod(time.Minute), certifier.WithOnError(func(err error) { failed <- err }))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	waitForCheck := func() {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(time.Minute)
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
	}
	files := signer.issue(t, dir, 2, "127.0.0.1")
	require.EqualValues(t, 1, serial(t, c), "changed before the next check")
	waitForCheck()
	require.EqualValues(t, 2, serial(t, c))

	require.NoError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	waitForCheck()
	waitForCheck()
	require.EqualValues(t, 2, serial(t, c))
	require.Len(t, failed, 1)
	require.ErrorContains(t, <-failed, "certificate and key")
	require.NoError(t, os.Remove(files.Authority))
	waitForCheck()
	waitForCheck()
	require.Len(t, failed, 1)
	require.ErrorContains(t, <-failed, "ca.pem")

	signer.issue(t, dir, 3, "127.0.0.1")
	waitForCheck()
	require.EqualValues(t, 3, serial(t, c))
	require.Empty(t, failed)
	cancel()
	wg.Wait()
	_, err = certifier.New(certifier.Files{})
	require.Error(t, err, "New accepted files that do not exist")
}

// peer answers heartbeats.
type peer struct{ primrosespar.PeerHandler }

func (peer) HandleHeartbeat(context.Context, primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	return primrosespar.Heartbeat{Host: "h"}, nil
}

// TestPeersAuthenticateEachOther guards against a host that answers a peer
// without a certificate or with one of another authority, and against a host
// that calls a peer whose certificate is for another address.
func TestPeersAuthenticateEachOther(t *testing.T) {
	defer goleak.VerifyNone(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	newCertifier := func(a authority, ip string) *certifier.Certifier {
		c, err := certifier.New(a.issue(t, t.TempDir(), 1, ip))
		require.NoError(t, err)
		return c
	}
	host, other := newCertifier(ours, "127.0.0.1"), newCertifier(ours, "127.0.0.9")
	anonymous := func() *tls.Config { return &tls.Config{RootCAs: host.Peers().RootCAs, MinVersion: tls.VersionTLS13} }
	for name, test := range map[string]struct {
		server, client func() *tls.Config
		want           primrosespar.Code
	}{
		"same authority":   {host.Peers, other.Peers, primrosespar.CodeOK},
		"other authority":  {host.Peers, newCertifier(theirs, "127.0.0.1").Peers, primrosespar.CodePeerUnavailable},
		"no certificate":   {host.Peers, anonymous, primrosespar.CodePeerUnavailable},
		"no TLS":           {host.Peers, nil, primrosespar.CodePeerUnavailable},
		"address mismatch": {other.Peers, host.Peers, primrosespar.CodePeerUnavailable},
	} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = messenger.Serve(ctx, listener, peer{}, messenger.WithCurrentTLS(test.server)) })
		m := messenger.New(messenger.WithCurrentTLS(test.client), messenger.WithTimeout(5*time.Second))
		_, err = m.Heartbeat(ctx, listener.Addr().(*net.TCPAddr).AddrPort(), primrosespar.Heartbeat{Host: "h"})
		require.Equal(t, test.want, primrosespar.CodeOf(err), "%s: %v", name, err)
		require.NoError(t, m.Close())
		cancel()
		wg.Wait()
	}
}

// TestPlatformIsAuthenticated guards against calls to a platform whose
// certificate another authority has signed, and against an authority that
// changes only with a restart.
func TestPlatformIsAuthenticated(t *testing.T) {
	ours, theirs, dir := newAuthority(t), newAuthority(t), t.TempDir()
	platform, err := certifier.New(ours.issue(t, t.TempDir(), 1, "127.0.0.1"))
	require.NoError(t, err)
	service := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"rows":[{"key":"k","version":7}]}`)
	}))
	service.TLS = &tls.Config{Certificates: platform.Peers().Certificates, MinVersion: tls.VersionTLS12}
	service.Config.ErrorLog = log.New(io.Discard, "", 0)
	service.StartTLS()
	defer service.Close()
	clock := clockwork.NewFakeClock()
	host, err := certifier.New(theirs.issue(t, dir, 1, "127.0.0.1"), certifier.WithClock(clock), certifier.WithPeriod(time.Minute))
	require.NoError(t, err)
	table := tabler.New(service.URL, "p", tabler.WithTransport(host.Transport()))
	_, err = table.Get(t.Context(), "k")
	require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err))

	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { host.Run(ctx) })
	ours.issue(t, dir, 2, "127.0.0.1")
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	clock.Advance(time.Minute)
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	rows, err := table.Get(t.Context(), "k")
	require.NoError(t, err)
	require.EqualValues(t, 7, rows[0].Version)
	cancel()
	wg.Wait()
}
