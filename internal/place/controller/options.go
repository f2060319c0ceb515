package controller

import "time"

// Options are the periods and bounds of a Controller.
type Options struct {
	// WithTick is the longest time between two rounds.
	MaxTickInterval time.Duration
	// WithRenewal is the period of the place lease.
	Renewal time.Duration
	// WithWorkerRenewal is the period of the worker leases.
	WorkerRenewal time.Duration
	// WithWorkerLease is how long a worker runs on without a renewal.
	WorkerLease time.Duration
	// WorkerTimeout bounds one call of the worker service.
	WorkerTimeout time.Duration
	// TableTimeout bounds one call of the table.
	TableTimeout time.Duration
	// InboxInterval is the period of the scan for jobs that no notification named.
	InboxInterval time.Duration
	// CommitPause is the wait after the table was found unavailable.
	CommitPause time.Duration
	// PageSize is the number of rows of one scan.
	PageSize int
	// BatchSize is the number of gangs in one transaction.
	BatchSize int
	// MaxInFlight bounds the calls that run beside the loop.
	MaxInFlight int
	// WithQuarantine takes workers out of service that fail everything.
	Quarantine bool
}

// Option sets one option.
type Option func(*Options)

// WithTick sets the longest time between two rounds.
func WithTick(d time.Duration) Option {
	return func(o *Options) { o.MaxTickInterval = d }
}

// WithRenewal sets the period of the place lease.
func WithRenewal(d time.Duration) Option {
	return func(o *Options) { o.Renewal = d }
}

// WithWorkerLease sets how long a worker runs on without a renewal.
func WithWorkerLease(d time.Duration) Option {
	return func(o *Options) { o.WorkerLease = d }
}

// WithWorkerRenewal sets the period of the worker leases.
func WithWorkerRenewal(d time.Duration) Option {
	return func(o *Options) { o.WorkerRenewal = d }
}

// WithQuarantine sets whether workers that fail everything are taken out.
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
