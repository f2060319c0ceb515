package postponer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/postponer"
)

// TestBriefOutageIsWaitedFor guards against callers of a change of holder who
// are sent away, and against callers of a long outage who are held untold.
func TestBriefOutageIsWaitedFor(t *testing.T) {
	p := postponer.New()
	call := postponer.Call{Remaining: 2850 * time.Millisecond}
	require.Equal(t, postponer.DefaultBriefOutage, p.Decide(call, postponer.Outage{}).Hold)
	require.Equal(t, postponer.DefaultBriefOutage-time.Millisecond, p.Decide(call, postponer.Outage{Age: time.Millisecond}).Hold)
	require.Zero(t, p.Decide(call, postponer.Outage{Age: 2 * time.Second}).Hold)
	call.Remaining = 100 * time.Millisecond
	require.Equal(t, call.Remaining, p.Decide(call, postponer.Outage{}).Hold)
}

// TestLastAttemptIsHeld guards against a caller who is told to come back when
// it has no time for that.
func TestLastAttemptIsHeld(t *testing.T) {
	call := postponer.Call{Remaining: postponer.DefaultLastAttempt}
	require.Equal(t, call.Remaining, postponer.New().Decide(call, postponer.Outage{Age: time.Minute}).Hold)
}

// TestHeldCallsAreBounded guards against calls without number or memory bound.
func TestHeldCallsAreBounded(t *testing.T) {
	p := postponer.New(postponer.WithLimits(2, 100))
	call := postponer.Call{Remaining: time.Second, Bytes: 60}
	require.Positive(t, p.Decide(call, postponer.Outage{Held: 1, HeldBytes: 40}).Hold)
	require.Zero(t, p.Decide(call, postponer.Outage{Held: 2}).Hold)
	require.Zero(t, p.Decide(call, postponer.Outage{Held: 1, HeldBytes: 41}).Hold)
}

// TestCallersReturnInOrder guards against callers of an outage who return
// together, the urgent ones last, or too late for further attempts.
func TestCallersReturnInOrder(t *testing.T) {
	p := postponer.New()
	outage := postponer.Outage{Age: 20 * time.Second}
	last := time.Duration(0)
	for priority := range 3 {
		for spread := 0.0; spread < 1; spread += 0.25 {
			d := p.Decide(postponer.Call{Remaining: time.Minute, Priority: priority, Spread: spread}, outage)
			require.Greater(t, d.RetryAfter, last)
			require.GreaterOrEqual(t, d.RetryAfter, outage.Age/2)
			require.LessOrEqual(t, d.RetryAfter, outage.Age)
			last = d.RetryAfter
		}
	}
	d := p.Decide(postponer.Call{Remaining: 9 * time.Second, Priority: 9}, outage)
	require.Equal(t, 3*time.Second, d.RetryAfter)
	d = p.Decide(postponer.Call{Remaining: time.Second, Priority: -1, Spread: -1}, outage)
	require.Equal(t, postponer.MinRetryAfter, d.RetryAfter)
}
