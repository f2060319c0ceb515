package controller

import "time"

// Options are the intervals, timeouts and limits of a Controller.
type Options struct {
	// MaxTickInterval is the longest time between two rounds.
	MaxTickInterval time.Duration
	// Renewal is the interval at which the place lease is renewed.
	Renewal time.Duration
	// WorkerRenewal is the interval at which the worker leases are renewed.
	WorkerRenewal time.Duration
	// WorkerLease is how long a worker keeps its tasks running without a
	// renewal.
	WorkerLease time.Duration
	// WorkerTimeout limits one call of the worker service.
	WorkerTimeout time.Duration
	// TableTimeout limits one call of the table.
	TableTimeout time.Duration
	// InboxInterval is the interval between scans of the inbox without a
	// notification.
	InboxInterval time.Duration
	// CommitPause is how long no rows are written after a write failed.
	CommitPause time.Duration
	// PageSize is the number of rows that one scan reads.
	PageSize int
	// BatchSize is the number of gangs in one transaction.
	BatchSize int
	// MaxInFlight limits the commands and writes that run outside the main
	// loop.
	MaxInFlight int
	// Quarantine takes workers on which all jobs fail out of service.
	Quarantine bool
}

// Option sets one option.
type Option func(*Options)

// WithMaxTickInterval sets the longest time between two rounds.
func WithMaxTickInterval(d time.Duration) Option {
	return func(o *Options) { o.MaxTickInterval = d }
}

// WithRenewal sets the interval at which the place lease is renewed.
func WithRenewal(d time.Duration) Option {
	return func(o *Options) { o.Renewal = d }
}

// WithWorkerLease sets how long a worker keeps its tasks running without a
// renewal.
func WithWorkerLease(d time.Duration) Option {
	return func(o *Options) { o.WorkerLease = d }
}

// WithWorkerRenewal sets the interval at which the worker leases are renewed.
func WithWorkerRenewal(d time.Duration) Option {
	return func(o *Options) { o.WorkerRenewal = d }
}

// WithQuarantine sets whether workers on which all jobs fail are taken out of
// service.
func WithQuarantine(on bool) Option {
	return func(o *Options) { o.Quarantine = on }
}

const (
	defaultMaxTickInterval = 200 * time.Millisecond
	defaultRenewal         = 2 * time.Second
	defaultWorkerRenewal   = 3 * time.Second
	defaultWorkerLease     = 10 * time.Second
	defaultWorkerTimeout   = time.Second
	defaultTableTimeout    = 2 * time.Second
	defaultInboxInterval   = 2 * time.Second
	defaultCommitPause     = 500 * time.Millisecond
	defaultPageSize        = 500
	defaultBatchSize       = 32
	defaultMaxInFlight     = 8
)

func newOptions(opts []Option) Options {
	o := Options{
		MaxTickInterval: defaultMaxTickInterval,
		Renewal:         defaultRenewal,
		WorkerRenewal:   defaultWorkerRenewal,
		WorkerLease:     defaultWorkerLease,
		WorkerTimeout:   defaultWorkerTimeout,
		TableTimeout:    defaultTableTimeout,
		InboxInterval:   defaultInboxInterval,
		CommitPause:     defaultCommitPause,
		PageSize:        defaultPageSize,
		BatchSize:       defaultBatchSize,
		MaxInFlight:     defaultMaxInFlight,
		Quarantine:      true,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
