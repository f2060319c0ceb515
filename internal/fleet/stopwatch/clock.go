package stopwatch

import (
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Clock is a primrosespar.Clock whose readings also advance while the machine
// is suspended. Its readings may only be compared with each other: after a
// suspension they are ahead of the time of day. Its timers are those of the
// underlying clock. It is safe for concurrent use.
type Clock struct {
	primrosespar.Clock
	stopwatch primrosespar.Stopwatch
	started   primrosespar.Instant

	mu sync.Mutex
	// suspended is the time for which the underlying clock stood still.
	suspended time.Duration
}

// NewClock returns a Clock that adds the suspensions that the stopwatch shows
// to the readings of the clock.
func NewClock(clock primrosespar.Clock, stopwatch primrosespar.Stopwatch) *Clock {
	c := &Clock{Clock: clock, stopwatch: stopwatch}
	c.started = c.read()
	return c
}

// read reads the stopwatch before the clock, so that a pause between the two
// never counts as a suspension.
func (c *Clock) read() primrosespar.Instant {
	elapsed := c.stopwatch.Elapsed()
	return primrosespar.Instant{At: c.Clock.Now(), Elapsed: elapsed}
}

// Now implements primrosespar.Clock.
func (c *Clock) Now() time.Time {
	now := c.read()
	suspended := now.Elapsed - c.started.Elapsed - now.At.Sub(c.started.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = max(c.suspended, suspended)
	return now.At.Add(c.suspended)
}

// Since implements primrosespar.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }
