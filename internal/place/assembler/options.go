package assembler

import "time"

// Options are the bounds of an Assembler. Together they keep an urgent claim
// within its 9.3 s: checkpoint 4 s, stop 2 s, commit and start 2 s.
type Options struct {
	// WithStartTimeout is how long members may take to be held.
	StartTimeout time.Duration
	// ReleaseTimeout is how long it may take until all members are released.
	ReleaseTimeout time.Duration
	// WithCheckpointTimeout is how long members may save their work before they stop.
	CheckpointTimeout time.Duration
	// WithWorkerLease is how long a worker runs on without a renewal.
	WorkerLease time.Duration
	// ResendInterval is how long a command waits for its answer.
	ResendInterval time.Duration
	// WithMaxAttempts bounds how often a failing job is started.
	MaxAttempts int
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

// WithStartTimeout sets how long members may take to be held.
func WithStartTimeout(d time.Duration) Option {
	return func(o *Options) { o.StartTimeout = d }
}

// WithCheckpointTimeout sets how long members may save their work.
func WithCheckpointTimeout(d time.Duration) Option {
	return func(o *Options) { o.CheckpointTimeout = d }
}

// WithWorkerLease sets the lease that workers get.
func WithWorkerLease(d time.Duration) Option {
	return func(o *Options) { o.WorkerLease = d }
}

// WithMaxAttempts sets how often a failing job is started.
func WithMaxAttempts(n int) Option {
	return func(o *Options) { o.MaxAttempts = n }
}

func newOptions(opts []Option) Options {
	o := Options{
		StartTimeout:      defaultStartTimeout,
		ReleaseTimeout:    defaultReleaseTimeout,
		CheckpointTimeout: defaultCheckpointTimeout,
		WorkerLease:       defaultWorkerLease,
		ResendInterval:    defaultResendInterval,
		MaxAttempts:       defaultMaxAttempts,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
