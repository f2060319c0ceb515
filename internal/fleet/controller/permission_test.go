package controller_test

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// suspendedTime is for how long the host of the tests is suspended.
const suspendedTime = 4 * time.Second

// host is a host that can be suspended: its clock stands still then.
type host struct{ suspended atomic.Int64 }

// Elapsed implements primrosespar.Stopwatch.
func (h *host) Elapsed() time.Duration {
	return time.Duration(time.Now().UnixNano() + h.suspended.Load())
}

// suspendingTable is a primrosespar.Table that suspends the host once, while the
// answer to a commit with a row of a maintenance wave is on its way. Another
// host acquires the lease meanwhile.
type suspendingTable struct {
	primrosespar.Table
	host  *host
	other *committer.Committer
	armed atomic.Bool
}

// Commit implements primrosespar.Table.
func (s *suspendingTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	versions, err := s.Table.Commit(ctx, txn)
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, primrosespar.WavePrefix()) && s.armed.CompareAndSwap(true, false) {
			seen, err := s.other.Read(ctx)
			if err != nil {
				return nil, err
			}
			if err := s.other.Acquire(ctx, seen); err != nil {
				return nil, err
			}
			s.host.suspended.Add(int64(suspendedTime))
		}
	}
	return versions, err
}

// wavingProvider is a primrosespar.MaintenanceService with one wave of one
// machine.
type wavingProvider struct{ orders atomic.Int64 }

// Waves implements primrosespar.MaintenanceService.
func (*wavingProvider) Waves(context.Context) ([]primrosespar.Wave, error) {
	return []primrosespar.Wave{{Number: 1, Machines: []primrosespar.Machine{"m"}, Window: time.Second, MaxUnavailable: 1}}, nil
}

// Machines implements primrosespar.MaintenanceService.
func (*wavingProvider) Machines(context.Context) (primrosespar.MachineList, error) {
	return primrosespar.MachineList{Machines: []primrosespar.MachineState{{Machine: "m", Worker: "w", Up: true}}, Complete: true}, nil
}

// Maintain implements primrosespar.MaintenanceService.
func (p *wavingProvider) Maintain(context.Context, primrosespar.MaintenanceOrder) error {
	p.orders.Add(1)
	return nil
}

// ReportWave implements primrosespar.MaintenanceService.
func (*wavingProvider) ReportWave(context.Context, int, bool) error { return nil }

// TestSuspendedHolderOrdersNoUpkeep guards against a maintenance order that a
// holder sends on the answer to a commit which it reads after it was suspended:
// another host holds the lease by then.
func TestSuspendedHolderOrdersNoUpkeep(t *testing.T) {
	for _, suspended := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			stored := keeper.New(keeper.WithClock(clock))
			self := &host{}
			table := &suspendingTable{Table: stored, host: self, other: committer.New(stored, clock, committer.Identity{
				Host: "b", Incarnation: "2", Address: netip.MustParseAddrPort("10.0.0.2:1"),
			})}
			table.armed.Store(suspended)
			lease := committer.New(table, clock, committer.Identity{
				Host: "a", Incarnation: "1", Address: netip.MustParseAddrPort("10.0.0.1:1"),
			}, committer.WithStopwatch(self))
			acquireLease(t, lease)
			provider := &wavingProvider{}
			c, err := controller.New(controller.Parts{
				Table: table, Source: source{}, Maintenance: provider, Clock: clock, Stopwatch: self, Committer: lease,
				Catalog: catalog, WallClock: func(now time.Time) time.Time { return now },
				OnDecision: func(scheduler.Event) {}, OnStoreAnswer: func() {}, OnError: func(string, error) {},
			})
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- c.Run(ctx) }()
			time.Sleep(5 * time.Second)
			if suspended {
				require.Equal(t, primrosespar.CodeLeaseLost, primrosespar.CodeOf(<-ended))
				require.Zero(t, provider.orders.Load())
			} else {
				require.Empty(t, ended)
				require.Positive(t, provider.orders.Load())
			}
			cancel()
		})
	}
}
