package primrosespar

import "time"

// Clock provides the current time and timers. clockwork.Clock implements it, in
// production and in tests.
type Clock interface {
	// Now returns the current time. Its monotonic reading may only be compared
	// with readings of the same process.
	Now() time.Time
	// Since returns the time elapsed since t.
	Since(t time.Time) time.Duration
	// After sends the time on the returned channel once d has passed.
	After(d time.Duration) <-chan time.Time
	// Sleep blocks for d.
	Sleep(d time.Duration)
}

// Stopwatch measures elapsed time including the time for which the machine was
// suspended. The monotonic reading of a Clock may stand still then.
type Stopwatch interface {
	// Elapsed returns the time since an arbitrary moment. It never decreases.
	Elapsed() time.Duration
}

// Instant is a moment by the clock of a process, and by its stopwatch if it has
// one. Without one, Elapsed is 0.
type Instant struct {
	At      time.Time
	Elapsed time.Duration
}
