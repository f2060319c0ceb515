package dispatcher_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
)

// suspendableClock is the clock of a machine that can be suspended, during which
// it stands still.
type suspendableClock struct {
	clockwork.Clock
	stoodStill atomic.Int64
}

// Now implements primrosespar.Clock.
func (c *suspendableClock) Now() time.Time {
	return c.Clock.Now().Add(-time.Duration(c.stoodStill.Load()))
}

// Since implements primrosespar.Clock.
func (c *suspendableClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Elapsed implements primrosespar.Stopwatch.
func (c *suspendableClock) Elapsed() time.Duration {
	return time.Duration(c.Clock.Now().UnixNano())
}

// suspensionHost is a host of TestSuspendedHostUsesNoSlotsOfOthers.
type suspensionHost struct {
	*dispatcher.Dispatcher
	clock *stopwatch.Clock
}

// newSuspensionHost returns a host whose machine has the clock.
func newSuspensionHost(name primrosespar.Host, clock *suspendableClock) suspensionHost {
	counting := stopwatch.NewClock(clock, clock)
	return suspensionHost{clock: counting, Dispatcher: dispatcher.New(
		dispatcher.WithHost(name, "p", primrosespar.Incarnation(name), netip.AddrPort{}),
		dispatcher.WithClock(clock), dispatcher.WithMemberClock(counting), dispatcher.WithContracts(contractSource{}),
	)}
}

// slots returns how many slots the host may use.
func (h suspensionHost) slots() int {
	total := 0
	for _, u := range h.Upstreams() {
		total += u.Slots
	}
	return total
}

// exchange sends a heartbeat from one host to the other, which replies.
func exchange(t *testing.T, from, to suspensionHost, name primrosespar.Host) {
	sentAt := from.clock.Now()
	reply, err := to.HandleHeartbeat(t.Context(), from.Heartbeat(name))
	require.NoError(t, err)
	from.HandleHeartbeatReply(reply, sentAt)
}

// TestSuspendedHostUsesNoSlotsOfOthers guards against a host that was suspended,
// whose clock stood still, and that goes on using slots which its peers have
// taken over meanwhile, until they have given them back.
func TestSuspendedHostUsesNoSlotsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := primrosespar.Directory{
			Hosts:     []primrosespar.HostEntry{{Host: "a", Place: "p"}, {Host: "b", Place: "p"}},
			Upstreams: []primrosespar.UpstreamEntry{{Upstream: "u", Place: "p", Slots: slotsPerUpstream}},
		}
		clock := &suspendableClock{Clock: clockwork.NewRealClock()}
		a, b := newSuspensionHost("a", clock), newSuspensionHost("b", &suspendableClock{Clock: clockwork.NewRealClock()})
		for _, h := range []suspensionHost{a, b} {
			h.SetDirectory(directory)
			h.Tick()
		}
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				a.Tick()
				b.Tick()
				exchange(t, a, b, "b")
				exchange(t, b, a, "a")
			}
		}
		run(10 * time.Second)
		require.Equal(t, slotsPerUpstream, a.slots()+b.slots())
		require.Positive(t, a.slots())
		// The slots have just been passed on when the machine is suspended.
		a.Tick()
		const suspended = 20 * time.Second
		for range int(suspended / time.Second) {
			time.Sleep(time.Second)
			b.Tick()
		}
		clock.stoodStill.Add(int64(suspended))
		require.Equal(t, slotsPerUpstream, b.slots())
		// A call that arrives before anything else has noticed.
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := a.Acquire(ctx, primrosespar.Call{Account: "x", Class: "c", Deadline: clock.Now().Add(time.Minute)})
		require.Error(t, err)
		require.Zero(t, a.slots())
		for range 10 {
			run(time.Second)
			require.LessOrEqual(t, a.slots()+b.slots(), slotsPerUpstream)
		}
		require.Positive(t, a.slots())
		require.Equal(t, slotsPerUpstream, a.slots()+b.slots())
	})
}
