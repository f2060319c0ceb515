package assembler

import "time"

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
