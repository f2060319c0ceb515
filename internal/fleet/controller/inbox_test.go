package controller_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/controller"
)

// lateInboxTable does not answer reads of the inbox for a while.
type lateInboxTable struct {
	*limitedTable
	answersFrom time.Time
}

// Scan implements primrosespar.Table.
func (t *lateInboxTable) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	if strings.HasPrefix(prefix, primrosespar.FleetInboxPrefix()) && time.Now().Before(t.answersFrom) {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "no answer")
	}
	return t.limitedTable.Scan(ctx, prefix, after, limit)
}

// startCounter counts the starts that reach its workers.
type startCounter struct {
	*workingFleet
	starts atomic.Int32
}

// Start implements primrosespar.Fleet.
func (f *startCounter) Start(ctx context.Context, start primrosespar.Start) error {
	f.starts.Add(1)
	return f.workingFleet.Start(ctx, start)
}

// TestStartsOfANewHolderWaitForTheInbox guards against tasks of a job that was
// cancelled in the inbox, which start because the first read of the inbox by a
// new holder is not answered. They do not wait forever.
func TestStartsOfANewHolderWaitForTheInbox(t *testing.T) {
	for name, c := range map[string]struct {
		inboxAfter time.Duration
		cancelled  bool
		starts     int32
	}{
		"cancelled":            {2 * time.Second, true, 0},
		"inbox cannot be read": {time.Minute, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &lateInboxTable{limitedTable: newLimitedTable(20 * time.Millisecond)}
				ctx, cancel := context.WithCancel(t.Context())
				first := newController(t, table)
				ended := make(chan error, 1)
				go func() { ended <- first.Run(ctx) }()
				time.Sleep(time.Second)
				require.NoError(t, first.Submit(ctx, oneTask()))
				cancel()
				require.Error(t, <-ended)
				if c.cancelled {
					commitRows(t, table, map[string][]byte{primrosespar.FleetInboxCancelKey(oneTask().ID): []byte(oneTask().ID)})
				}
				table.answersFrom = time.Now().Add(c.inboxAfter)
				fleet := &startCounter{workingFleet: newWorkingFleet(nil, equalWorkers()...)}
				ctx, cancel = context.WithCancel(t.Context())
				second := newControllerOf(t, table, fleet, controller.WithLease(time.Second))
				go func() { ended <- second.Run(ctx) }()
				time.Sleep(20 * time.Second)
				cancel()
				require.Error(t, <-ended)
				require.Equal(t, c.starts, fleet.starts.Load())
			})
		})
	}
}
