package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Defaults and bounds of the decisions.
const (
	// DefaultTakeover is the time after which a run of an earlier holder has
	// surely lapsed at a worker that does not answer: the longest lease with
	// the slowest worker clock.
	DefaultTakeover = 11 * time.Second
	// orderRetryDelay is the time before an unanswered order is sent again.
	orderRetryDelay = 150 * time.Millisecond
	// stragglerDelay is the time that the members of a broken gang get to end
	// by themselves.
	stragglerDelay = 700 * time.Millisecond
	// stallTime is how long a run may stand still before it is moved; tasks
	// report progress at each look, which is at most 2 s apart.
	stallTime = 2500 * time.Millisecond
	// minStallObserved is the part of it that reports have to cover: a look that
	// lists the run again without progress.
	minStallObserved = 1500 * time.Millisecond
	// quarantineTime is how long a bad worker gets no new work.
	quarantineTime = 8 * time.Second
	// quarantineFailures are the jobs that fail in a row before a quarantine.
	quarantineFailures = 2
	// quarantineShare bounds the part of a service's workers in quarantine.
	quarantineShare = 0.25
	// avoidTime is how long after its last start a unit keeps away from workers
	// where it has failed, if it does not fit elsewhere.
	avoidTime = 5 * time.Second
	// claimTime bounds how long freed capacity is kept for the unit that it
	// was freed for.
	claimTime = 3 * time.Second
	// reclaimTime is how long room is made for an urgent job that is late; a
	// guarantee has to be given within about 3 s.
	reclaimTime = 4 * time.Second
	// DefaultReserve is the share of the guarantees that is left free by work
	// that is not urgent.
	DefaultReserve = 0.55
	// maxReserveShare bounds the reserve by a share of the service, which may have
	// lost workers or be too small for its guarantees.
	maxReserveShare = 0.35
	// idleShare of a service in use holds nothing back: work has to be started
	// while less than half of the service is in use, and the platform does not
	// count quite as the scheduler does.
	idleShare = 0.6
	// maxReclaims bounds the units that room is made for in one plan.
	maxReclaims = 8
	// dataRackWait is how long a unit waits for the rack with its data.
	dataRackWait = 1200 * time.Millisecond
	// oneRackWait is how long a gang waits for one rack.
	oneRackWait = 2 * time.Second
	// urgentOneRackWait is the same for urgent gangs, whose guarantee has to be
	// reclaimed within about 3 s.
	urgentOneRackWait = 900 * time.Millisecond
	// backoff is the wait after a run that ended through no fault of the task.
	backoff = 100 * time.Millisecond
	// unrestrictedWait is when a unit may go wherever others of its shape may: past
	// the waits for its data and for one rack.
	unrestrictedWait = oneRackWait
	// blockedRetry is when a unit that did not fit is tried again though nothing
	// was freed, because its waits run out.
	blockedRetry = 100 * time.Millisecond
	// rackReservationTime is how long a rack stays kept for a blocked gang before the
	// choice is made again.
	rackReservationTime = 500 * time.Millisecond
	// DefaultGangTimeout is how long a member waits for the others of its gang
	// where the platform does not say.
	DefaultGangTimeout = 3 * time.Second
	// gatherShare of the gang timeout is when a gang that has not gathered is
	// stopped; the rest is left for the stop.
	gatherShare = 0.6
	// checkInterval is the time between two checks of what runs.
	checkInterval = 100 * time.Millisecond
	// coresPerAccelerator is the worth of an accelerator in cores when lost work
	// is compared.
	coresPerAccelerator = 8
)

// Options configure a Scheduler.
type Options struct {
	// WallClock returns the wall clock for a reading of the steady clock.
	WallClock func(now time.Time) time.Time
	// Takeover is how long runs of an earlier holder may live on at a worker
	// that does not answer.
	Takeover time.Duration
	// Reserve is the share of the guarantees that work which is not urgent leaves
	// free.
	Reserve float64
	// GangTimeout is how long a member waits at its worker for the others.
	GangTimeout time.Duration
	// LeaseExpiry returns when the lease of the last order to a worker, answered or
	// not, has surely ended; the zero time if none has left.
	LeaseExpiry func(primrosespar.Worker) time.Time
}

// Option changes Options.
type Option func(*Options)

// WithWallClock sets the wall clock.
func WithWallClock(clock func(now time.Time) time.Time) Option {
	return func(o *Options) { o.WallClock = clock }
}

// WithTakeover sets how long runs of an earlier holder may live on.
func WithTakeover(takeover time.Duration) Option { return func(o *Options) { o.Takeover = takeover } }

// WithReserve sets the share of the guarantees that work which is not urgent
// leaves free.
func WithReserve(share float64) Option { return func(o *Options) { o.Reserve = share } }

// WithGangTimeout sets how long a member waits at its worker for the others.
func WithGangTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.GangTimeout = timeout }
}

// WithLeaseExpiry sets what knows the leases that have left.
func WithLeaseExpiry(expiry func(primrosespar.Worker) time.Time) Option {
	return func(o *Options) { o.LeaseExpiry = expiry }
}

// applyOptions applies the options to the defaults.
func applyOptions(opts []Option) Options {
	o := Options{
		WallClock:   func(now time.Time) time.Time { return now },
		Takeover:    DefaultTakeover,
		GangTimeout: DefaultGangTimeout,
		Reserve:     DefaultReserve,
		LeaseExpiry: func(primrosespar.Worker) time.Time { return time.Time{} },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
