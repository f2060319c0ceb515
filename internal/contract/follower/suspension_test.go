package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
)

// laggingClock is the clock of a host that was suspended for a while.
type laggingClock struct {
	*clock
	behind time.Duration
}

// Now implements primrosespar.Clock.
func (c *laggingClock) Now() time.Time { return c.clock.Now().Add(-c.behind) }

// Since implements primrosespar.Clock.
func (c *laggingClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Elapsed implements primrosespar.Stopwatch.
func (c *laggingClock) Elapsed() time.Duration { return c.clock.Now().Sub(time.Unix(0, 0)) }

// suspend lets time pass while the clock stands still.
func (c *laggingClock) suspend(d time.Duration) {
	c.Sleep(d)
	c.behind += d
}

// TestSuspendedHostConfirmsNoOldView guards against a host without the table
// that takes an old view for current, because a host that was suspended since it
// read that view, and whose clock stood still, replies to its heartbeat.
func TestSuspendedHostConfirmsNoOldView(t *testing.T) {
	m := newStateMachine()
	require.NoError(t, m.amend(t, 0, amender.Amendment{ID: "x", Account: "a", Document: fmt.Appendf(nil, contractDocument, "a", 1, 1)}))
	lagging := &laggingClock{clock: m.clock}
	suspended := follower.New(follower.WithTable(m.hostClients[0]), follower.WithClock(stopwatch.NewClock(lagging, lagging)))
	cutOff := m.hosts[1]
	for _, f := range []*follower.Follower{suspended, cutOff} {
		_, err := f.Step(context.Background())
		require.NoError(t, err)
	}
	lagging.suspend(20 * time.Second)
	require.NoError(t, m.amend(t, 0, amender.Amendment{ID: "y", Account: "a", Base: 1, Document: fmt.Appendf(nil, contractDocument, "a", 2, 1)}))
	lagging.suspend(10 * time.Second)
	require.False(t, cutOff.Current())
	view, age := suspended.View()
	cutOff.Observe(primrosespar.Heartbeat{Revision: view.Revision, ViewAge: age}, m.clock.Now())
	require.False(t, cutOff.Current(), "revision %d, replaced 10 s ago, counts as current", view.Revision)
	require.False(t, suspended.Current(), "revision %d, replaced 10 s ago, counts as current at the suspended host", view.Revision)
}

// TestReplyReadAfterSuspensionConfirmsNothing guards against a reply that
// confirms a view as of the moment at which its reader woke up: it was sent
// before the suspension.
func TestReplyReadAfterSuspensionConfirmsNothing(t *testing.T) {
	m := newStateMachine()
	require.NoError(t, m.amend(t, 0, amender.Amendment{ID: "x", Account: "a", Document: fmt.Appendf(nil, contractDocument, "a", 1, 1)}))
	lagging := &laggingClock{clock: m.clock}
	own := stopwatch.NewClock(lagging, lagging)
	suspended := follower.New(follower.WithTable(m.hostClients[0]), follower.WithClock(own))
	_, err := suspended.Step(context.Background())
	require.NoError(t, err)
	view, _ := suspended.View()
	sentAt := own.Now()
	reply := primrosespar.Heartbeat{Revision: view.Revision}
	lagging.suspend(20 * time.Second)
	suspended.Observe(reply, sentAt)
	require.False(t, suspended.Current())
	_, age := suspended.View()
	require.Equal(t, 20*time.Second, age)
}
