package stopwatch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
)

// machine is a machine that can be suspended, with its clock and stopwatch.
type machine struct {
	*clockwork.FakeClock
	started   time.Time
	suspended time.Duration
	// pause passes each time after the stopwatch is read.
	pause time.Duration
}

// Elapsed implements primrosespar.Stopwatch.
func (m *machine) Elapsed() time.Duration {
	elapsed := m.Since(m.started) + m.suspended
	m.Advance(m.pause)
	return elapsed
}

// TestClockCountsSuspensions guards against durations without the time for which
// the machine was suspended, however short or soon after another, also if the
// process is paused between the readings of the two clocks.
func TestClockCountsSuspensions(t *testing.T) {
	m := &machine{FakeClock: clockwork.NewFakeClock()}
	m.started = m.Now()
	m.pause = 10 * time.Second
	c := stopwatch.NewClock(m, m)
	m.pause = 0
	before := c.Now()
	require.Zero(t, c.Since(before))
	m.Advance(time.Second)
	require.Equal(t, time.Second, c.Since(before))
	m.suspended += time.Millisecond
	require.Equal(t, time.Second+time.Millisecond, c.Since(before))
	m.pause = 5 * time.Second
	require.Equal(t, 6*time.Second+time.Millisecond, c.Since(before))
	m.pause = 0
	m.suspended += 2 * time.Second
	require.Equal(t, 8*time.Second+time.Millisecond, c.Since(before))
}
