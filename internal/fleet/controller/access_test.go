package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// own and foreign return requests for a job of account "x" in the queue "q" by
// its owner and by another account.
func own(id primrosespar.JobID) primrosespar.JobRequest {
	return primrosespar.JobRequest{Job: id, Account: "x", Queue: "q"}
}

func foreign(id primrosespar.JobID) primrosespar.JobRequest {
	return primrosespar.JobRequest{Job: id, Account: "y", Queue: "q"}
}

// TestCancellationsOfTheInboxAreChecked guards against a message in the inbox
// that cancels a job of another account, and against one of a host of an earlier
// release, which names no account, that has no effect.
func TestCancellationsOfTheInboxAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		enc, err := encoder.New()
		require.NoError(t, err)
		rows := map[string][]byte{}
		for _, id := range []primrosespar.JobID{"own", "foreign", "earlier", "queue"} {
			rows[primrosespar.FleetInboxSubmitKey(id)] = encodeSubmission(t, primrosespar.Submission{
				ID: id, Queue: "q", Account: "x", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}},
			})
		}
		rows[primrosespar.FleetInboxCancelKey("earlier")] = []byte("earlier")
		for _, request := range []primrosespar.JobRequest{own("own"), foreign("foreign"), {Job: "queue", Account: "x", Queue: "other"}} {
			rows[primrosespar.FleetInboxCancelKey(request.Job)], err = enc.JobRequest(request)
			require.NoError(t, err)
		}
		commitRows(t, table, rows)
		ctx, cancel := context.WithCancel(t.Context())
		c := newController(t, table)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(5 * time.Second)
		for id, expected := range map[primrosespar.JobID]primrosespar.JobState{
			"own": primrosespar.JobCancelled, "earlier": primrosespar.JobCancelled,
			"foreign": primrosespar.JobQueued, "queue": primrosespar.JobQueued,
		} {
			state, err := c.State(ctx, own(id))
			require.NoError(t, err)
			require.Equal(t, expected, state, id)
		}
		left, err := table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", 10)
		require.NoError(t, err)
		require.Empty(t, left)
		cancel()
		require.Error(t, <-ended)
	})
}

// TestEndedJobStaysItsOwners guards against the end of a job that opens it to
// other accounts at the next holder, which does not need its content any more.
func TestEndedJobStaysItsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		job := primrosespar.Submission{ID: "a", Queue: "q", Account: "x", Spec: "secret", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}}}
		for term := range 3 {
			ctx, cancel := context.WithCancel(t.Context())
			c := newController(t, table)
			ended := make(chan error, 1)
			go func() { ended <- c.Run(ctx) }()
			if term == 0 {
				require.NoError(t, c.Submit(ctx, job))
				require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(c.Cancel(ctx, foreign("a"))))
				require.NoError(t, c.Cancel(ctx, own("a")))
			}
			time.Sleep(2 * time.Second)
			_, err := c.State(ctx, foreign("a"))
			require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
			require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(c.Cancel(ctx, foreign("a"))))
			other := job
			other.Account = "y"
			require.Equal(t, primrosespar.CodeForbidden, primrosespar.CodeOf(c.Submit(ctx, other)))
			state, err := c.State(ctx, own("a"))
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobCancelled, state)
			state, err = c.State(ctx, primrosespar.JobRequest{Job: "a"})
			require.NoError(t, err, "a host of an earlier release")
			require.Equal(t, primrosespar.JobCancelled, state)
			cancel()
			require.Error(t, <-ended)
		}
		rows, err := table.Get(t.Context(), primrosespar.SubmissionKey("a"))
		require.NoError(t, err)
		require.NotContains(t, string(rows[0].Value), "secret")
	})
}
