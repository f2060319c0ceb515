package executor

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Defaults of the stand-in workers.
const (
	DefaultCheckpointTime = 2 * time.Second
	DefaultUsageLag       = 5 * time.Second
	DefaultSilenceTimeout = 5 * time.Second
	DefaultRunTime        = time.Minute
)

// Options configure an Executor.
type Options struct {
	// Clock is required; the package never reads the system clock.
	Clock primrosespar.Clock
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// UsageLag is the time from the release of a task until its usage is
	// reported.
	UsageLag time.Duration
	// SilenceTimeout is how long a worker is killed or unreachable before it is
	// reported as not alive.
	SilenceTimeout time.Duration
	// RunTime is the run time of a task whose payload sets none.
	RunTime time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithCheckpointTime sets how long a checkpoint takes.
func WithCheckpointTime(d time.Duration) Option {
	return func(o *Options) { o.CheckpointTime = d }
}

// WithUsageLag sets the time from the release of a task until its usage is
// reported.
func WithUsageLag(d time.Duration) Option {
	return func(o *Options) { o.UsageLag = d }
}

// WithSilenceTimeout sets how long a worker is killed or unreachable before it
// is reported as not alive.
func WithSilenceTimeout(d time.Duration) Option {
	return func(o *Options) { o.SilenceTimeout = d }
}

// WithRunTime sets the run time of a task whose payload sets none.
func WithRunTime(d time.Duration) Option {
	return func(o *Options) { o.RunTime = d }
}

// newOptions returns the defaults, changed by opts.
func newOptions(opts []Option) Options {
	options := Options{
		CheckpointTime: DefaultCheckpointTime,
		UsageLag:       DefaultUsageLag,
		SilenceTimeout: DefaultSilenceTimeout,
		RunTime:        DefaultRunTime,
	}
	for _, opt := range opts {
		opt(&options)
	}
	return options
}
