package maintainer

import "time"

// Defaults and bounds of the decisions.
const (
	// DefaultDowntime is the time from the order for maintenance until the machine
	// carries a worker again; the platform's maintenance takes 2 s, and the list
	// of machines is read about three times a second.
	DefaultDowntime = 3 * time.Second
	// drainTimeout is how long the stop of what runs on a machine may take; a task
	// takes at most 0.9 s to stop.
	drainTimeout = 1500 * time.Millisecond
	// retryDelay is the wait after an order that had no effect.
	retryDelay = 500 * time.Millisecond
	// deferralTime is how long a machine is left alone whose long-running tasks could not
	// be stopped: the others of their step take a few seconds to be at work.
	deferralTime = 4 * time.Second
	// maxListAge is how old the list of machines may be for a new order.
	maxListAge = 3 * time.Second
)

// Options configure a Maintainer.
type Options struct {
	// Downtime is how long a machine is away for its maintenance.
	Downtime time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithDowntime sets how long a machine is away for its maintenance.
func WithDowntime(downtime time.Duration) Option { return func(o *Options) { o.Downtime = downtime } }
