package servicer_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// post sends a request and returns the status, the values of X-Not-Run and
// X-Leaving together, the body and the error.
func post(t *testing.T, url string) (int, string, string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/run", strings.NewReader("body"))
	require.NoError(t, err)
	for name, value := range map[string]string{"X-Account": "a", "X-Class": "c", "X-Request-Key": "k", "X-Attempt-Id": "t"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Not-Run") + resp.Header.Get("X-Leaving"), string(data), err
}

// TestFaultsAreVisibleToCallers guards against a faulty answer that a caller
// could take for a complete one, and against a failed request that is marked as
// not run or missing from the stats.
func TestFaultsAreVisibleToCallers(t *testing.T) {
	s := servicer.New()
	server := httptest.NewServer(s)
	defer server.Close()
	for _, faults := range []servicer.Faults{{Truncated: 1}, {Unended: 1}, {Closed: 1}} {
		s.SetFaults(faults)
		_, _, _, err := post(t, server.URL)
		require.Error(t, err, "%+v", faults)
	}
	s.SetFaults(servicer.Faults{Failed: 1})
	status, refusal, _, err := post(t, server.URL)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Empty(t, refusal)
	s.SetFaults(servicer.Faults{})
	_, _, body, err := post(t, server.URL)
	require.NoError(t, err)
	require.Contains(t, body, servicer.Digest("a", "c", "k", []byte("body")))
	resp, err := http.Get(server.URL + "/stats")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var stats struct{ Runs []servicer.RunCount }
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	require.ElementsMatch(t, []servicer.RunCount{
		{Account: "a", Key: "k", Runs: 5}, {Account: "a", Attempt: "t", Runs: 5},
	}, stats.Runs)
}

// TestRequestsAreRefusedWhenFullOrLeaving guards against a request that runs
// although all slots are taken or the upstream is leaving.
func TestRequestsAreRefusedWhenFullOrLeaving(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := servicer.New(servicer.WithClock(clock), servicer.WithServiceTime("c", time.Second))
	server := httptest.NewServer(s)
	defer server.Close()
	var group conc.WaitGroup
	for range servicer.DefaultSlots {
		group.Go(func() { _, _, _, _ = post(t, server.URL) })
	}
	require.NoError(t, clock.BlockUntilContext(t.Context(), servicer.DefaultSlots))
	status, refusal, _, err := post(t, server.URL)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", refusal)
	clock.Advance(time.Second)
	group.Wait()
	s.SetLeaving(true)
	_, refusal, _, err = post(t, server.URL)
	require.NoError(t, err)
	require.Equal(t, "11", refusal)
}
