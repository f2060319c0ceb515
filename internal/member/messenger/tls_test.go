package messenger_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/messenger"
)

// TestTLSRefusesUnknownPeers guards against TLS settings that have no effect: a
// client without TLS or without the server's certificate must fail.
func TestTLSRefusesUnknownPeers(t *testing.T) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	roots := x509.NewCertPool()
	roots.AddCert(certificates.Certificate())
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{}, messenger.WithTLS(&tls.Config{Certificates: certificates.TLS.Certificates, MinVersion: tls.VersionTLS13}))
	defer stop()
	for config, want := range map[*tls.Config]primrosespar.Code{
		nil:              primrosespar.CodePeerUnavailable,
		{}:               primrosespar.CodePeerUnavailable,
		{RootCAs: roots}: primrosespar.CodeOK,
	} {
		m := messenger.New(messenger.WithTLS(config), messenger.WithTimeout(5*time.Second))
		_, err := m.Heartbeat(t.Context(), to, primrosespar.Heartbeat{Host: "h"})
		require.Equal(t, want, primrosespar.CodeOf(err))
		require.NoError(t, m.Close())
	}
}
