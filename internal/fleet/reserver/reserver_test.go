package reserver_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/reserver"
)

// TestReserve guards against work that takes what bursts of urgent work need,
// and against work that becomes late while the reserve is idle.
func TestReserve(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const total, guaranteed = 1000, 400 // a reserve of 220
	for name, c := range map[string]struct {
		work   reserver.Work
		free   int
		held   int
		peak   int
		admits bool
		closed int
	}{
		"leaves the reserve":              {reserver.Work{Need: 10}, 230, 0, 0, true, 0},
		"can wait":                        {reserver.Work{Need: 10}, 229, 0, 0, false, 0},
		"due":                             {reserver.Work{Need: 10, Due: true}, 76, 0, 0, true, 0},
		"due, beyond the least":           {reserver.Work{Need: 10, Due: true}, 75, 0, 0, false, 0},
		"due, urgent work was seen":       {reserver.Work{Need: 10, Due: true}, 109, 0, 100, false, 0},
		"due, peak above the reserve":     {reserver.Work{Need: 10, Due: true}, 230, 0, 900, true, 0},
		"loses little by a stop":          {reserver.Work{Need: 10, Checkpointing: true}, 76, 0, 0, true, 0},
		"due, behind a gang":              {reserver.Work{Need: 10, Due: true}, 76, 1, 0, false, 0},
		"too large for the reserve":       {reserver.Work{Need: 800}, 800, 0, 0, true, 0},
		"too large, no room":              {reserver.Work{Need: 800}, 799, 0, 0, false, 0},
		"idle service":                    {reserver.Work{Need: 200}, 401, 300, 0, true, 0},
		"idle, but not for it twice over": {reserver.Work{Need: 250}, 401, 0, 0, false, 0},
		"idle beside a closed place":      {reserver.Work{Need: 150}, 301, 0, 0, true, 700},
		"long-running":                    {reserver.Work{Need: 10, LongRunning: true}, 20, 20, 0, true, 0},
		"long-running, once":              {reserver.Work{Need: 10, LongRunning: true, Due: true}, 19, 0, 0, false, 0},
	} {
		r := reserver.New(reserver.DefaultShare)
		r.Observe(c.peak, now)
		room := reserver.Room{Total: total, Free: c.free, Closed: c.closed, Held: c.held, Guaranteed: guaranteed}
		require.Equal(t, c.admits, r.Admits(c.work, room), name)
	}
}

// TestPeakIsForgotten guards against a burst of long ago that still holds work
// back.
func TestPeakIsForgotten(t *testing.T) {
	r, now := reserver.New(reserver.DefaultShare), time.Unix(1_000_000, 0)
	work, room := reserver.Work{Need: 1, Due: true}, reserver.Room{Total: 1000, Guaranteed: 400}
	r.Observe(200, now)
	require.Equal(t, 200, r.Reserve(work, room))
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Observe(0, now)
	}
	require.Equal(t, 73, r.Reserve(work, room))
	r.Observe(0, now.Add(time.Minute))
	require.Equal(t, 66, r.Reserve(work, room), "the least while no urgent work is seen")
}
