package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/submitter"
)

// shortPages is a table whose pages hold one row, whatever the limit.
type shortPages struct{ primrosespar.Table }

// Scan implements primrosespar.Table.
func (s shortPages) Scan(ctx context.Context, prefix, after string, _ int) ([]primrosespar.Row, error) {
	return s.Table.Scan(ctx, prefix, after, 1)
}

// TestGangsBeyondAShortPageAreKnown guards against gangs that the next holder
// does not load, and whose tasks it stops as those of unknown jobs, because a
// page of the table was shorter than its limit.
func TestGangsBeyondAShortPageAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		kill := env.startHost()
		var ids []primrosespar.JobID
		for range 4 {
			ids = append(ids, env.submit("beta", 1, 8, 2*time.Minute, false))
		}
		for _, id := range ids {
			env.awaitState(id, primrosespar.GangRunning, 20*time.Second)
		}
		kill()
		p := cutPlace{testEnv: env}
		p.start("next", shortPages{env.table}, env.workers)
		time.Sleep(30 * time.Second)
		listed, err := submitter.New(shortPages{env.table}, fakeContracts{}, env.clock).List(t.Context(), place, "beta")
		require.NoError(t, err)
		require.Len(t, listed, len(ids))
		for _, id := range ids {
			env.awaitState(id, primrosespar.GangDone, 5*time.Minute)
			require.EqualValues(t, 1, env.gang(id).Attempt)
		}
	})
}
