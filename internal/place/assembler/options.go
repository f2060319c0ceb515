package assembler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Options holds the limits of an Assembler. The defaults keep an urgent claim
// within its 9.3 s: checkpoint 4 s, stop 2 s, commit and start 2 s.
type Options struct {
	// StartTimeout is how long it may take until all members are held.
	StartTimeout time.Duration
	// ReleaseTimeout is how long it may take until all members are released.
	ReleaseTimeout time.Duration
	// CheckpointTimeout is how long members may save their work before they are
	// stopped.
	CheckpointTimeout time.Duration
	// WorkerLease is how long a worker continues without a renewal of its
	// lease.
	WorkerLease time.Duration
	// ResendInterval is how long a command waits for its answer.
	ResendInterval time.Duration
	// MaxAttempts is how often a job that fails is started.
	MaxAttempts int
	// Reached reports whether the worker has accepted the token of this holder,
	// so that it refuses the renewals of earlier holders.
	Reached func(primrosespar.Worker) bool
}

// Option sets one option.
type Option func(*Options)

const (
	defaultStartTimeout      = 5 * time.Second
	defaultReleaseTimeout    = 2 * time.Second
	defaultCheckpointTimeout = 4 * time.Second
	defaultWorkerLease       = 10 * time.Second
	defaultResendInterval    = 500 * time.Millisecond
	defaultMaxAttempts       = 3
)

// WithStartTimeout sets how long it may take until all members are held.
func WithStartTimeout(d time.Duration) Option {
	return func(o *Options) { o.StartTimeout = d }
}

// WithCheckpointTimeout sets how long members may save their work before they
// are stopped.
func WithCheckpointTimeout(d time.Duration) Option {
	return func(o *Options) { o.CheckpointTimeout = d }
}

// WithWorkerLease sets the duration of the lease that workers get.
func WithWorkerLease(d time.Duration) Option {
	return func(o *Options) { o.WorkerLease = d }
}

// WithMaxAttempts sets how often a job that fails is started.
func WithMaxAttempts(n int) Option {
	return func(o *Options) { o.MaxAttempts = n }
}

// WithReached sets the function that reports whether a worker has accepted the
// token of this holder. By default all workers have.
func WithReached(reached func(primrosespar.Worker) bool) Option {
	return func(o *Options) { o.Reached = reached }
}

func newOptions(opts []Option) Options {
	o := Options{
		StartTimeout:      defaultStartTimeout,
		ReleaseTimeout:    defaultReleaseTimeout,
		CheckpointTimeout: defaultCheckpointTimeout,
		WorkerLease:       defaultWorkerLease,
		ResendInterval:    defaultResendInterval,
		MaxAttempts:       defaultMaxAttempts,
		Reached:           func(primrosespar.Worker) bool { return true },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
