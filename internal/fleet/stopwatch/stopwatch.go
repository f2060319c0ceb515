// Package stopwatch measures elapsed time including the time for which the
// machine was suspended, in which the monotonic clock stands still.
//
// # Usage
//
//	w, err := stopwatch.New()
//	since := w.Elapsed()
//	age := w.Elapsed() - since
package stopwatch

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Stopwatch implements primrosespar.Stopwatch with the boot clock. It is safe
// for concurrent use.
type Stopwatch struct{}

// New returns a Stopwatch. It fails if there is no boot clock.
func New() (Stopwatch, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Stopwatch{}, eris.Wrap(err, "read boot clock")
}

// Elapsed returns the time since the machine has started.
func (Stopwatch) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
