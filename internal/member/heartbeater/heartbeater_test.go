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

// fakeMembers has one live and two dead targets and counts replies.
type fakeMembers struct {
	mu      sync.Mutex
	replies map[primrosespar.Host]int
}

func (*fakeMembers) Tick() {}

func (*fakeMembers) View() watcher.View {
	return watcher.View{Targets: []watcher.Target{{Host: "dead"}, {Host: "dead"}, {Host: "live"}}}
}

func (*fakeMembers) Heartbeat(to primrosespar.Host) primrosespar.Heartbeat {
	return primrosespar.Heartbeat{Host: to}
}

func (m *fakeMembers) HandleHeartbeatReply(reply primrosespar.Heartbeat, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replies[reply.Host]++
}

// fakePeers replies at once for the live host and times out for the dead one.
type fakePeers struct{ primrosespar.Peers }

func (fakePeers) Heartbeat(_ context.Context, _ netip.AddrPort, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	if heartbeat.Host == "dead" {
		time.Sleep(900 * time.Millisecond)
		return primrosespar.Heartbeat{}, errors.New("timeout")
	}
	return heartbeat, nil
}

// TestDeadPeerDelaysNoLivePeer guards against a peer whose timeouts make the
// heartbeats to live peers less frequent than once per second.
func TestDeadPeerDelaysNoLivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, failed := &fakeMembers{replies: map[primrosespar.Host]int{}}, atomic.Int64{}
		h := heartbeater.New(m, fakePeers{}, heartbeater.WithClock(clockwork.NewRealClock()), heartbeater.WithOnError(func(watcher.Target, error) { failed.Add(1) }))
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { _ = h.Run(ctx) })
		time.Sleep(9950 * time.Millisecond)
		cancel()
		wg.Wait()
		require.Equal(t, map[primrosespar.Host]int{"live": 10}, m.replies)
		require.Equal(t, int64(20), failed.Load())
	})
}
