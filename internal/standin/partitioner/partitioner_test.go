package partitioner_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/standin/partitioner"
	"primrosespar.example/primrosespar/internal/standin/proxier"
)

// TestCutRegionIsSilentUntilItHeals guards against a cut that lets calls or
// answers pass, that resets connections, or that cuts links within a region.
func TestCutRegionIsSilentUntilItHeals(t *testing.T) {
	arrived := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		arrived <- host
	}))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	p := partitioner.New()
	defer p.Close()
	source := netip.MustParseAddr("127.0.1.9")
	across, err := p.Link("a", "b", target, proxier.WithSource(source))
	require.NoError(t, err)
	within, err := p.Link("a", "a", target, proxier.WithSource(source))
	require.NoError(t, err)
	call := func(address netip.AddrPort, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String(), nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	const long, short = 5 * time.Second, 50 * time.Millisecond
	require.NoError(t, call(across, long))
	require.Equal(t, source.String(), <-arrived)
	for _, c := range []struct {
		region    string
		direction partitioner.Direction
		arrives   bool
	}{
		{"a", partitioner.Both, false},
		{"a", partitioner.Outward, false},
		{"a", partitioner.Inward, true},
		{"b", partitioner.Both, false},
		{"b", partitioner.Outward, true},
		{"b", partitioner.Inward, false},
	} {
		p.Cut(c.region, c.direction)
		require.ErrorIs(t, call(across, short), context.DeadlineExceeded)
		require.Len(t, arrived, map[bool]int{false: 0, true: 1}[c.arrives], "%+v", c)
		require.NoError(t, call(within, long))
		p.Heal(c.region)
		require.NoError(t, call(across, long))
		for range 3 {
			<-arrived
		}
	}
}
