package registrar_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/registrar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// platform is a primrosespar.EvacuationSource with one request.
type platform struct{ err error }

// Evacuations implements primrosespar.EvacuationSource.
func (p *platform) Evacuations(context.Context) ([]primrosespar.Evacuation, error) {
	return []primrosespar.Evacuation{{Place: "a", Version: 3}}, p.err
}

// requestTime is when the requests of the tests are made.
func requestTime() time.Time { return time.UnixMilli(1_700_000_000_123) }

// newRegistrar returns a Registrar of an installation with two places.
func newRegistrar(t *testing.T, table primrosespar.Table, p *platform) *registrar.Registrar {
	r, err := registrar.New(table, p, requestTime, registrar.WithPlaces([]primrosespar.Place{"a", "b"}))
	require.NoError(t, err)
	return r
}

// racingTable is a primrosespar.Table in which another host writes the row
// before each of the first commits.
type racingTable struct {
	primrosespar.Table
	races int
}

// Commit implements primrosespar.Table.
func (r *racingTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if r.races > 0 {
		r.races--
		other := txn
		other.Writes = []primrosespar.Write{{Key: txn.Writes[0].Key, Value: []byte("of a later release")}}
		if _, err := r.Table.Commit(ctx, other); err != nil {
			return nil, err
		}
	}
	return r.Table.Commit(ctx, txn)
}

// shortPages is a primrosespar.Table with one row per page.
type shortPages struct{ primrosespar.Table }

// Scan implements primrosespar.Table.
func (s shortPages) Scan(ctx context.Context, prefix, after string, _ int) ([]primrosespar.Row, error) {
	return s.Table.Scan(ctx, prefix, after, 1)
}

// TestRequestsAreKeptUntilTheyAreTakenBack guards against a request that is lost
// or named twice, and against one that the platform's operator made and this one
// takes back.
func TestRequestsAreKeptUntilTheyAreTakenBack(t *testing.T) {
	table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
	r := newRegistrar(t, table, &platform{})
	first, err := r.Evacuate(t.Context(), "b")
	require.NoError(t, err)
	require.Equal(t, requestTime(), first.RequestedAt)
	again, err := newRegistrar(t, table, &platform{}).Evacuate(t.Context(), "b")
	require.NoError(t, err)
	require.Equal(t, first, again, "a second request changes nothing")
	all, err := r.Evacuations(t.Context())
	require.NoError(t, err)
	require.Equal(t, []primrosespar.Evacuation{{Place: "a", Version: 3}, first}, all)
	short := newRegistrar(t, shortPages{table}, &platform{})
	_, err = short.Evacuate(t.Context(), "a")
	require.NoError(t, err)
	all, err = short.Evacuations(t.Context())
	require.NoError(t, err)
	require.Len(t, all, 3, "a short page is not the last")
	require.NoError(t, r.Restore(t.Context(), "a"))
	require.NoError(t, r.Restore(t.Context(), "b"))
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(r.Restore(t.Context(), "b")))
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(r.Restore(t.Context(), "a")))
	for _, place := range []primrosespar.Place{"", "c", "a/b"} {
		_, err = r.Evacuate(t.Context(), place)
		require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err), place)
	}
}

// TestWritesThatMeetAreDecidedByTheTable guards against a request that is lost
// because two operators make it at once, and a row of a later release that is
// not obeyed.
func TestWritesThatMeetAreDecidedByTheTable(t *testing.T) {
	table := &racingTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), races: 1}
	r := newRegistrar(t, table, &platform{})
	evacuation, err := r.Evacuate(t.Context(), "b")
	require.NoError(t, err)
	require.Zero(t, evacuation.RequestedAt, "the other one came first")
	all, err := r.Evacuations(t.Context())
	require.NoError(t, err)
	require.Equal(t, primrosespar.Place("b"), all[1].Place)
	table.races = 5
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(r.Restore(t.Context(), "b")))
}

// TestBothSourcesHaveToAnswer guards against a read that counts as recent though
// requests of the platform may be missing.
func TestBothSourcesHaveToAnswer(t *testing.T) {
	r := newRegistrar(t, keeper.New(keeper.WithClock(clockwork.NewRealClock())), &platform{err: context.DeadlineExceeded})
	_, err := r.Evacuations(t.Context())
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
