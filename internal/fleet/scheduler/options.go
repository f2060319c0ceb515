package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/accountant"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
	"primrosespar.example/primrosespar/internal/fleet/ranker"
	"primrosespar.example/primrosespar/internal/fleet/reserver"
)

// Defaults and limits of scheduling decisions.
const (
	// orderRetryDelay is the delay before an unanswered order is repeated.
	orderRetryDelay = 150 * time.Millisecond
	// lateOrderTime bounds how long after it was sent an order without an answer may
	// be carried out.
	lateOrderTime = 12 * time.Second
	// stragglerDelay is how long the remaining members of a gang may take to
	// end by themselves after the first one ended.
	stragglerDelay = 700 * time.Millisecond
	// quarantineTime is how long a faulty worker gets no new work.
	quarantineTime = 8 * time.Second
	// quarantineFailures is the number of different jobs that have to fail on a
	// worker, without a success in between, before it is quarantined.
	quarantineFailures = 2
	// quarantineShare limits the share of a service's workers in quarantine.
	quarantineShare = 0.25
	// avoidTime is how long after its last start or progress a unit that does
	// not fit elsewhere avoids the workers where it failed.
	avoidTime = 5 * time.Second
	// claimTime limits how long freed capacity is kept for the unit that it was
	// freed for.
	claimTime = 3 * time.Second
	// reclaimTime is how long after a step became ready other work may be
	// stopped for it even though its urgent job is late. A guarantee has to be
	// provided within about 3 s.
	reclaimTime = 4 * time.Second
	// firstReportsWait is how long a new holder waits for the first reports of
	// workers before it stops work to make room that they may have.
	firstReportsWait = time.Second
	// maxReclaims limits the number of units that other work is stopped for in
	// one plan.
	maxReclaims = 8
	// maxHolds limits the number of blocked gangs that room is kept for, and
	// maxHeldShare the room for each to a share of the service.
	maxHolds     = 2
	maxHeldShare = 0.25
	// dataRackWait is how long a unit waits for room in the rack of its data.
	dataRackWait = 1200 * time.Millisecond
	// oneRackWait is how long a gang waits for room in a single rack.
	oneRackWait = 2 * time.Second
	// urgentOneRackWait is oneRackWait for urgent gangs, whose guarantee has to
	// be provided within about 3 s.
	urgentOneRackWait = 900 * time.Millisecond
	// refusalRetryDelay is the delay after a start that was refused.
	refusalRetryDelay = 100 * time.Millisecond
	// blockedRetryDelay is the delay before a unit that did not fit is tried
	// again even if no capacity was freed, because its waits expire.
	blockedRetryDelay = 100 * time.Millisecond
	// rackReservationTime is how long a rack stays reserved for a blocked gang
	// before the choice is reconsidered.
	rackReservationTime = 500 * time.Millisecond
	// DefaultGangTimeout is how long a member waits for the others of its gang
	// if the platform does not specify it.
	DefaultGangTimeout = 3 * time.Second
	// gatherShare is the share of the gang timeout after which a gang that has
	// not gathered is stopped. The rest is left for the stop.
	gatherShare = 0.6
	// checkInterval is the time between two checks of the runs.
	checkInterval = 100 * time.Millisecond
	// DefaultJobMemory is a quarter of the memory of a small host.
	DefaultJobMemory = 64 << 20
	// maxLiveOccurrences limits the live occurrences of a job, all of which its
	// row names.
	maxLiveOccurrences = 1000
	// coresPerAccelerator is the weight of an accelerator in cores when lost
	// work is compared.
	coresPerAccelerator = 8
)

// Options configure a Scheduler.
type Options struct {
	// WallClock converts a reading of the monotonic clock to wall-clock time.
	WallClock func(now time.Time) time.Time
	// Takeover is how long runs under a lease of an earlier holder may live on a
	// worker that does not respond.
	Takeover time.Duration
	// RestartWait is how long a run may live that a worker has started on an
	// order for its earlier lifetime, whose lease was meant for another clock.
	RestartWait time.Duration
	// TakeoverEnd is when runs that earlier holders started have certainly ended
	// on a worker that does not respond. The zero time means Takeover after the
	// worker became known.
	TakeoverEnd time.Time
	// Reserve is the share of the guarantees that work which is not urgent
	// leaves free.
	Reserve float64
	// PriorityRatio is how much more a job counts in the order of waiting work
	// than one of the next lower priority.
	PriorityRatio float64
	// GangTimeout is how long a member waits on its worker for the others of
	// its gang.
	GangTimeout time.Duration
	// LeaseExpiry returns when the lease in the last order or poll that was
	// sent to a worker, answered or not, has certainly expired. It returns the
	// zero time if none was sent.
	LeaseExpiry func(primrosespar.Worker) time.Time
	// RestartExpiry is LeaseExpiry for the case that the worker had restarted
	// unnoticed, so that its new lifetime has taken the order or poll.
	RestartExpiry func(primrosespar.Worker) time.Time
	// InlineTasks is the most tasks of the live occurrences of a job whose
	// progress is one row. That of larger jobs is split into pieces.
	InlineTasks int
	// JobMemory limits the memory of all live jobs, as Submission.Memory
	// estimates it.
	JobMemory int64
	// Accepts reports whether work may be started at the workers of a place now.
	Accepts func(primrosespar.Place) bool
	// MayStart reports whether starts may leave now; otherwise they are tried
	// again.
	MayStart func() bool
	// Accountant adds up the work that is lost.
	Accountant *accountant.Accountant
	// AssessWorkers makes workers that lately finished what they got preferred.
	AssessWorkers bool
}

// Option sets one option.
type Option func(*Options)

// WithWallClock sets the conversion from the monotonic clock to the wall clock.
func WithWallClock(clock func(now time.Time) time.Time) Option {
	return func(o *Options) { o.WallClock = clock }
}

// WithTakeover sets how long runs that an earlier holder started may live on.
func WithTakeover(takeover time.Duration) Option { return func(o *Options) { o.Takeover = takeover } }

// WithRestartWait sets how long a run may live that a worker has started on an
// order for its earlier lifetime.
func WithRestartWait(wait time.Duration) Option { return func(o *Options) { o.RestartWait = wait } }

// WithTakeoverEnd sets when runs that earlier holders started have certainly
// ended.
func WithTakeoverEnd(end time.Time) Option { return func(o *Options) { o.TakeoverEnd = end } }

// WithReserve sets the share of the guarantees that work which is not urgent
// leaves free.
func WithReserve(share float64) Option { return func(o *Options) { o.Reserve = share } }

// WithPriorityRatio sets how much more a job counts than one of the next lower
// priority.
func WithPriorityRatio(ratio float64) Option { return func(o *Options) { o.PriorityRatio = ratio } }

// WithGangTimeout sets how long a member waits on its worker for the others of
// its gang.
func WithGangTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.GangTimeout = timeout }
}

// WithLeaseExpiry sets the function that returns when the last lease sent to a
// worker expires.
func WithLeaseExpiry(expiry func(primrosespar.Worker) time.Time) Option {
	return func(o *Options) { o.LeaseExpiry = expiry }
}

// WithRestartExpiry sets the function that returns when the last lease sent to a
// worker expires if it was taken by a lifetime that has not reported yet.
func WithRestartExpiry(expiry func(primrosespar.Worker) time.Time) Option {
	return func(o *Options) { o.RestartExpiry = expiry }
}

// WithInlineTasks sets the most tasks of a job whose progress is one row.
func WithInlineTasks(tasks int) Option { return func(o *Options) { o.InlineTasks = tasks } }

// WithAssessment sets whether workers that lately finished what they got are
// preferred; by default they are.
func WithAssessment(assess bool) Option { return func(o *Options) { o.AssessWorkers = assess } }

// WithJobMemory limits the memory of all live jobs.
func WithJobMemory(limit int64) Option { return func(o *Options) { o.JobMemory = limit } }

// WithAccountant sets what adds up the work that is lost.
func WithAccountant(a *accountant.Accountant) Option {
	return func(o *Options) { o.Accountant = a }
}

// applyOptions returns the defaults with the options applied.
func applyOptions(opts []Option) Options {
	o := Options{
		WallClock:     func(now time.Time) time.Time { return now },
		Takeover:      lessor.TakeoverWait(lessor.DefaultLease, 0),
		RestartWait:   lessor.RestartWait(lessor.DefaultLease, 0),
		GangTimeout:   DefaultGangTimeout,
		Reserve:       reserver.DefaultShare,
		PriorityRatio: ranker.DefaultPriorityRatio,
		InlineTasks:   encoder.PieceTasks,
		JobMemory:     DefaultJobMemory,
		LeaseExpiry:   func(primrosespar.Worker) time.Time { return time.Time{} },
		RestartExpiry: func(primrosespar.Worker) time.Time { return time.Time{} },
		Accountant:    accountant.New(),
		Accepts:       func(primrosespar.Place) bool { return true },
		MayStart:      func() bool { return true },

		AssessWorkers: true,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
