// Package stopwatch measures elapsed time including the time for which the
// machine was suspended, in which the monotonic clock stands still.
//
// # Usage
//
//	w := stopwatch.New()
//	since := w.Elapsed()
//	age := w.Elapsed() - since
package stopwatch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch implements primrosespar.Stopwatch with the boot clock. It is safe
// for concurrent use.
type Stopwatch struct{}

// New returns a Stopwatch.
func New() Stopwatch { return Stopwatch{} }

// Elapsed returns the time since an arbitrary moment before the start of the
// process. Without a boot clock it stands still.
func (Stopwatch) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
