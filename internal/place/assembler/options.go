package assembler

import "time"

// Options are the bounds of an Assembler. Together they keep an urgent claim
// within its 9.3 s: checkpoint 4 s, stop 2 s, commit and start 2 s.
type Options struct {
	// WithStart is how long members may take to be held.
	Start time.Duration
	// Release is how long it may take until all members are released.
	Release time.Duration
	// WithCheckpoint is how long members may save their work before they stop.
	Checkpoint time.Duration
	// WithWorkerLease is how long a worker runs on without a renewal.
	WorkerLease time.Duration
	// Resend is how long a command waits for its answer.
	Resend time.Duration
	// WithAttempts bounds how often a failing job is started.
	Attempts int
}

// Option sets one option.
type Option func(*Options)

const (
	defaultStart       = 5 * time.Second
	defaultRelease     = 2 * time.Second
	defaultCheckpoint  = 4 * time.Second
	defaultWorkerLease = 10 * time.Second
	defaultResend      = 500 * time.Millisecond
	defaultAttempts    = 3
)

// WithStart sets how long members may take to be held.
func WithStart(d time.Duration) Option {
	return func(o *Options) { o.Start = d }
}

// WithCheckpoint sets how long members may save their work.
func WithCheckpoint(d time.Duration) Option {
	return func(o *Options) { o.Checkpoint = d }
}

// WithWorkerLease sets the lease that workers get.
func WithWorkerLease(d time.Duration) Option {
	return func(o *Options) { o.WorkerLease = d }
}

// WithAttempts sets how often a failing job is started.
func WithAttempts(n int) Option {
	return func(o *Options) { o.Attempts = n }
}

func newOptions(opts []Option) Options {
	o := Options{
		Start:       defaultStart,
		Release:     defaultRelease,
		Checkpoint:  defaultCheckpoint,
		WorkerLease: defaultWorkerLease,
		Resend:      defaultResend,
		Attempts:    defaultAttempts,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
