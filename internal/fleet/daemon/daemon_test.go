package daemon_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/daemon"
	"primrosespar.example/primrosespar/internal/fleet/messenger"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// source is a primrosespar.Source with an empty catalog and no workers.
type source struct{}

// Catalog implements primrosespar.Source.
func (source) Catalog(context.Context) (*primrosespar.Catalog, error) {
	return &primrosespar.Catalog{Version: 1}, nil
}

// ListWorkers implements primrosespar.Source.
func (source) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) { return nil, nil }

// listen returns a listener on a free port of the loopback interface.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

// successor is a host that records the requests to take over.
type successor struct {
	primrosespar.FleetHandler
	asked chan primrosespar.Token
}

// HandleTakeOver implements primrosespar.FleetHandler.
func (s successor) HandleTakeOver(_ context.Context, token primrosespar.Token) error {
	select {
	case s.asked <- token:
	default:
	}
	return nil
}

// TestRefusedHolderOffersItsLease guards against a holder that is refused by the
// store and leaves the other hosts to find it out, which took them 1.5 s.
func TestRefusedHolderOffersItsLease(t *testing.T) {
	listener, address := listen(t)
	own, ownAddress := listen(t)
	require.NoError(t, own.Close())
	clock := clockwork.NewRealClock()
	table := keeper.New(keeper.WithClock(clock))
	d, err := daemon.New(daemon.Settings{Host: "a", PeerAddress: ownAddress, Weight: 1, Lease: time.Second},
		daemon.Backend{Table: table, Source: source{}}, daemon.WithClock(clock))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	next := successor{asked: make(chan primrosespar.Token, 1)}
	tasks.Go(func() { _ = messenger.Serve(ctx, listener, next, func(string, error) {}) })
	tasks.Go(func() { _ = d.Run(ctx) })
	var token primrosespar.Token
	require.Eventually(t, func() bool {
		reply, err := d.HandleHeartbeat(ctx, primrosespar.FleetHeartbeat{Host: "b", Address: address, Weight: 1})
		token = reply.Token
		return err == nil && reply.Leading
	}, 10*time.Second, 10*time.Millisecond)
	require.Empty(t, next.asked)
	table.SetFaults(keeper.Faults{Outage: true})
	select {
	case asked := <-next.asked:
		require.Equal(t, token, asked)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the successor was not asked")
	}
}

// TestDrainDoesNotWaitForASilentSuccessor guards against a host that does not
// stop in time, because the successor that it asks to take over accepts the
// connection and never answers.
func TestDrainDoesNotWaitForASilentSuccessor(t *testing.T) {
	silent, successor := listen(t)
	t.Cleanup(func() { _ = silent.Close() })
	own, address := listen(t)
	require.NoError(t, own.Close())
	clock := clockwork.NewRealClock()
	d, err := daemon.New(daemon.Settings{Host: "a", PeerAddress: address, Weight: 1, Lease: time.Second},
		daemon.Backend{Table: keeper.New(keeper.WithClock(clock)), Source: source{}}, daemon.WithClock(clock))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { _ = d.Run(ctx) })
	require.Eventually(t, func() bool {
		reply, err := d.HandleHeartbeat(ctx, primrosespar.FleetHeartbeat{Host: "b", Address: successor, Weight: 1})
		return err == nil && reply.Leading
	}, 10*time.Second, 10*time.Millisecond)
	drained := make(chan struct{})
	tasks.Go(func() {
		d.Drain(ctx)
		close(drained)
	})
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the host still waits for its successor")
	}
}
