package primrosespar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// TestRightToAJob guards against a caller who gets a right to a job of another
// account or queue, and against one who loses the right to a job of its own.
func TestRightToAJob(t *testing.T) {
	for _, c := range []struct {
		name    string
		request primrosespar.JobRequest
		account primrosespar.Account
		queue   primrosespar.Queue
		may     bool
	}{
		{"own", primrosespar.JobRequest{Account: "x", Queue: "q"}, "x", "q", true},
		{"other account", primrosespar.JobRequest{Account: "y", Queue: "q"}, "x", "q", false},
		{"other queue", primrosespar.JobRequest{Account: "x", Queue: "p"}, "x", "q", false},
		{"other public queue", primrosespar.JobRequest{Account: "x", Queue: "p", Public: true}, "x", "q", false},
		{"queue that is public now", primrosespar.JobRequest{Queue: "q", Public: true}, "x", "q", true},
		{"queue that was public", primrosespar.JobRequest{Account: "y", Queue: "q"}, "", "q", true},
		{"no account", primrosespar.JobRequest{Queue: "q"}, "x", "q", false},
		{"host of an earlier release", primrosespar.JobRequest{}, "x", "q", true},
		{"end stored by an earlier release", primrosespar.JobRequest{Account: "y", Queue: "q"}, "", "", true},
	} {
		require.Equal(t, c.may, c.request.MayUse(c.account, c.queue), c.name)
	}
}

// TestJobRequestsOfEarlierReleases guards against requests that hosts of
// different releases cannot read during a rolling update.
func TestJobRequestsOfEarlierReleases(t *testing.T) {
	type earlierRequest struct {
		Job primrosespar.JobID `json:"job"`
	}
	var encoding replier.Encoding
	data, err := encoding.Marshal(earlierRequest{Job: "a"})
	require.NoError(t, err)
	var request primrosespar.JobRequest
	require.NoError(t, encoding.Unmarshal(data, &request))
	require.Equal(t, primrosespar.JobRequest{Job: "a"}, request)
	data, err = encoding.Marshal(primrosespar.JobRequest{Job: "a", Account: "x", Queue: "q", Public: true})
	require.NoError(t, err)
	var earlier earlierRequest
	require.NoError(t, encoding.Unmarshal(data, &earlier))
	require.Equal(t, primrosespar.JobID("a"), earlier.Job)
}
