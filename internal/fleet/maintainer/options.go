package maintainer

import "time"

// Defaults and time limits of the decisions.
const (
	// DefaultDowntime is the time from the maintenance order until the machine
	// has a worker again; the platform's maintenance takes 2 s, and the list of
	// machines is read about three times a second.
	DefaultDowntime = 3 * time.Second
	// clearTimeout is how long stopping the runs on a machine may take; a
	// task takes at most 0.9 s to stop.
	clearTimeout = 1500 * time.Millisecond
	// retryDelay is the wait before a failed order or report is repeated.
	retryDelay = 500 * time.Millisecond
	// deferralTime is how long a machine is deferred whose long-running tasks
	// could not be stopped: the other tasks of their step need a few seconds to
	// start.
	deferralTime = 4 * time.Second
	// maxListAge is the maximum age of the list of machines for new orders.
	maxListAge = 3 * time.Second
)

// Options configure a Maintainer.
type Options struct {
	// Downtime is how long a machine is unavailable for its maintenance.
	Downtime time.Duration
	// RepeatFrom is when orders of earlier holders may be repeated.
	RepeatFrom time.Time
}

// Option sets one option.
type Option func(*Options)

// WithDowntime sets how long a machine is unavailable for its maintenance.
func WithDowntime(downtime time.Duration) Option { return func(o *Options) { o.Downtime = downtime } }

// WithRepeatFrom sets when orders of earlier holders may be repeated.
func WithRepeatFrom(t time.Time) Option { return func(o *Options) { o.RepeatFrom = t } }
