package heartbeater_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/heartbeater"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

// TestMain guards against goroutines that outlive the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// members has two peers and counts answers.
type members struct {
	mu    sync.Mutex
	heard map[primrosespar.Host]int
}

func (*members) Tick() {}

func (*members) View() watcher.View {
	return watcher.View{Targets: []watcher.Target{{Host: "dead"}, {Host: "dead"}, {Host: "live"}}}
}

func (*members) Heartbeat(to primrosespar.Host) primrosespar.Heartbeat {
	return primrosespar.Heartbeat{Host: to}
}

func (m *members) HandleHeartbeatReply(answer primrosespar.Heartbeat, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[answer.Host]++
}

// peers answers at once for the live host and times out for the dead one.
type peers struct{ primrosespar.Peers }

func (peers) Heartbeat(_ context.Context, _ netip.AddrPort, beat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	if beat.Host == "dead" {
		time.Sleep(900 * time.Millisecond)
		return primrosespar.Heartbeat{}, errors.New("timeout")
	}
	return beat, nil
}

// TestDeadPeerDelaysNoOther guards against a peer that times out and makes
// the heartbeats to live peers less frequent than once a second.
func TestDeadPeerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, failed := &members{heard: map[primrosespar.Host]int{}}, atomic.Int64{}
		h := heartbeater.New(m, peers{}, heartbeater.WithClock(clockwork.NewRealClock()), heartbeater.WithOnError(func(watcher.Target, error) { failed.Add(1) }))
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = h.Run(ctx) })
		time.Sleep(9950 * time.Millisecond)
		cancel()
		wg.Wait()
		require.Equal(t, map[primrosespar.Host]int{"live": 10}, m.heard)
		require.Equal(t, int64(20), failed.Load())
	})
}
