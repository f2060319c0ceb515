package controller_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// refusingTable is a primrosespar.Table that refuses each transaction with a row
// of the refused job for good, but not the row of its final state if it is
// small.
type refusingTable struct {
	primrosespar.Table
	refused  atomic.Value
	maxBytes int
}

// Commit implements primrosespar.Table.
func (t *refusingTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	refused, _ := t.refused.Load().(string)
	for _, w := range txn.Writes {
		if refused != "" && strings.HasSuffix(w.Key, refused) && len(w.Value) > t.maxBytes {
			return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "row %s is too large", w.Key)
		}
	}
	return t.Table.Commit(ctx, txn)
}

// job returns a submission with one task.
func job(id primrosespar.JobID) primrosespar.Submission {
	return primrosespar.Submission{ID: id, Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}}}
}

// runTerm runs a term of a controller until the test ends.
func runTerm(t *testing.T, table primrosespar.Table) (c *controller.Controller, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	c = newController(t, table)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	time.Sleep(1100 * time.Millisecond)
	return c, func() {
		require.Empty(t, ended, "the term has ended")
		cancel()
		require.Error(t, <-ended)
	}
}

// TestRefusedJobCostsThatJobOnly guards against a row that the store refuses for
// good and that ends one term of the holder after the other.
func TestRefusedJobCostsThatJobOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &refusingTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		table.refused.Store("bad")
		c, stop := runTerm(t, table)
		results := map[primrosespar.JobID]chan error{}
		for _, id := range []primrosespar.JobID{"a", "bad", "b", "c"} {
			result := make(chan error, 1)
			results[id] = result
			go func() { result <- c.Submit(t.Context(), job(id)) }()
		}
		time.Sleep(time.Second)
		err := <-results["bad"]
		require.Equal(t, primrosespar.CodeSetAside, primrosespar.CodeOf(err))
		var failure *primrosespar.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, primrosespar.RanNot, failure.Ran)
		for _, id := range []primrosespar.JobID{"a", "b", "c"} {
			require.NoError(t, <-results[id])
		}
		_, err = c.State(t.Context(), own("bad"))
		require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
		require.NoError(t, c.Submit(t.Context(), job("later")))
		stop()
	})
}

// TestAcceptedJobThatIsRefusedStaysVisible guards against a job that its caller
// was told is accepted, that the store refuses later, and that vanishes or ends
// the term.
func TestAcceptedJobThatIsRefusedStaysVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &refusingTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), maxBytes: 500}
		table.refused.Store("bad")
		enc, err := encoder.New()
		require.NoError(t, err)
		bad := job("bad")
		bad.Spec = strings.Repeat("x", 1000)
		row, err := enc.Submission(bad)
		require.NoError(t, err)
		_, err = table.Table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{
			{Key: primrosespar.FleetInboxSubmitKey("bad"), Value: row},
		}})
		require.NoError(t, err)
		c, stop := runTerm(t, table)
		require.NoError(t, c.Submit(t.Context(), job("a")))
		time.Sleep(3 * time.Second)
		for range 2 {
			state, err := c.State(t.Context(), own("bad"))
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobFailed, state)
			stop()
			c, stop = runTerm(t, table)
		}
		stop()
	})
}

// TestRefusedChangeOfAStoredJobEndsNoTerm guards against a term that ends
// because no row of one stored job can be written any more.
func TestRefusedChangeOfAStoredJobEndsNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &refusingTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		c, stop := runTerm(t, table)
		require.NoError(t, c.Submit(t.Context(), job("bad")))
		table.refused.Store("bad")
		require.Equal(t, primrosespar.CodeSetAside, primrosespar.CodeOf(c.Cancel(t.Context(), own("bad"))))
		require.NoError(t, c.Submit(t.Context(), job("a")))
		state, err := c.State(t.Context(), own("bad"))
		require.NoError(t, err)
		require.Equal(t, primrosespar.JobQueued, state)
		stop()
	})
}

// TestUnreadableJobIsNotStartedAnew guards against a job whose row cannot be
// decoded, that is said not to exist, and that starts from the beginning when
// its submission arrives again.
func TestUnreadableJobIsNotStartedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		c, stop := runTerm(t, table)
		require.NoError(t, c.Submit(t.Context(), job("bad")))
		require.NoError(t, c.Submit(t.Context(), job("a")))
		stop()
		unreadable := primrosespar.Write{Key: primrosespar.ProgressKey("bad"), Value: []byte{0xff}}
		_, err := table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{unreadable}})
		require.NoError(t, err)
		c, stop = runTerm(t, table)
		state, err := c.State(t.Context(), own("a"))
		require.NoError(t, err)
		require.Equal(t, primrosespar.JobQueued, state)
		state, err = c.State(t.Context(), own("bad"))
		require.NoError(t, err)
		require.Equal(t, primrosespar.JobActive, state)
		require.NoError(t, c.Submit(t.Context(), job("bad")))
		rows, err := table.Get(t.Context(), unreadable.Key)
		require.NoError(t, err)
		require.Equal(t, unreadable.Value, rows[0].Value)
		require.NoError(t, c.Cancel(t.Context(), own("bad")))
		state, err = c.State(t.Context(), own("bad"))
		require.NoError(t, err)
		require.Equal(t, primrosespar.JobCancelled, state)
		stop()
	})
}

// TestUnreadablePieceCostsItsJobOnly guards against a term that ends, or a job
// that begins anew, because one of its pieces cannot be decoded.
func TestUnreadablePieceCostsItsJobOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		c, stop := runTerm(t, table)
		require.NoError(t, c.Submit(t.Context(), largeJob(200)))
		require.NoError(t, c.Submit(t.Context(), job("a")))
		stop()
		unreadable := primrosespar.Write{Key: primrosespar.ProgressPieceKey("large", "000000.000.000"), Value: []byte{0xff}}
		_, err := table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{unreadable}})
		require.NoError(t, err)
		c, stop = runTerm(t, table)
		for _, id := range []primrosespar.JobID{"a", "large"} {
			state, err := c.State(t.Context(), own(id))
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobQueued, state)
		}
		require.NoError(t, c.Submit(t.Context(), largeJob(200)))
		require.NoError(t, c.Cancel(t.Context(), own("large")))
		stop()
		// The next holder deletes what is left of the job.
		_, stop = runTerm(t, table)
		requireRows(t, table, 2)
		stop()
	})
}
