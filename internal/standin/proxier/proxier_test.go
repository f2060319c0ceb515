package proxier_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/standin/proxier"
)

// TestResetDropsHeldBytes guards against bytes that a cut delivers late although
// their sender has reset the connection, which a partition does not.
func TestResetDropsHeldBytes(t *testing.T) {
	for _, reset := range []bool{false, true} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		p, err := proxier.New(netip.MustParseAddrPort(listener.Addr().String()))
		require.NoError(t, err)
		client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Address().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		p.Set(proxier.Cut)
		_, err = client.Write([]byte("order"))
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		if reset {
			require.NoError(t, client.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, client.Close())
		time.Sleep(50 * time.Millisecond)
		p.Set(proxier.Pass)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(5*time.Second)))
		received, err := io.ReadAll(server)
		require.NoError(t, err)
		require.Equal(t, reset, len(received) == 0, "received %q", received)
		p.Close()
		require.NoError(t, server.Close())
		require.NoError(t, listener.Close())
	}
}
