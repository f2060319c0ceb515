// Package controller runs the scheduler of a fleet while this host holds the
// lease: it feeds submissions, worker reports and results of orders to the
// scheduler, stores the decisions and then sends the orders to the workers.
//
// # Usage
//
//	c, err := controller.New(parts, controller.WithLease(6*time.Second))
//	err = c.Run(ctx) // returns when the lease is lost or the context ends
//
// One goroutine, the loop, owns the scheduler; all other goroutines enqueue
// actions for it. At most one commit is in flight. Decisions made meanwhile go
// into the next commit, so the number of transactions depends on the latency of
// the store and not on the number of decisions. Starts, acknowledgements of
// ended runs and replies to callers wait for the commit that contains them.
package controller

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/accountant"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/evacuator"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Intervals, timeouts and limits of the loop.
const (
	// workersInterval is the time between two reads of the list of workers; a
	// leaving worker has to be noticed within about 3 s.
	workersInterval = time.Second
	// inboxInterval is the time between two reads of the inbox, where hosts
	// that cannot reach the holder leave messages; a job has to be visible
	// within 3 s.
	inboxInterval = 2 * time.Second
	// maxInboxWait bounds how long the starts of a new holder wait for its first
	// read of the inbox.
	maxInboxWait = 3 * time.Second
	// keepaliveInterval bounds the time between two commits; other hosts take a
	// lease row that does not change as a sign that the holder is lost.
	keepaliveInterval = 500 * time.Millisecond
	// tickInterval is the time between two plans when nothing comes in, so that
	// timeouts and due times take effect.
	tickInterval = 100 * time.Millisecond
	// minPlanInterval and maxPlanInterval bound the time between two plans;
	// actions that arrive meanwhile are planned together. Between them the
	// interval is planIntervalFactor times the duration of the last plan, so
	// that a host with little processor time still polls and answers.
	minPlanInterval    = 15 * time.Millisecond
	maxPlanInterval    = 100 * time.Millisecond
	planIntervalFactor = 4
	// readTimeout bounds one read of the store or of the provider of the
	// machines.
	readTimeout = 1500 * time.Millisecond
	// stallThreshold is how long a commit may take before new work is refused.
	stallThreshold = 700 * time.Millisecond
	// failureThreshold is for how long the attempts of a commit may fail before
	// new work is refused, and the jobs that wait for the next commit.
	failureThreshold = 250 * time.Millisecond
	// withdrawThreshold is how long a commit may take before the jobs that wait
	// for the next one are refused. A store that is only slow answers within it.
	withdrawThreshold = time.Second
	// patienceFactor times the duration of the last commit, at most maxPatience,
	// replaces the two thresholds if it is longer. Callers wait for 3 s.
	patienceFactor = 2
	maxPatience    = 2 * time.Second
	// unconfirmedInterval is the time between two log lines while no commit is
	// confirmed, and how old the last confirmed one is before the first of them.
	unconfirmedInterval = time.Second
	// endedJobRetention is how long the state of an ended job can be queried;
	// the platform requires 120 s.
	endedJobRetention = 150 * time.Second
	// DefaultMaxFirstPolls is the limit of a host with a whole core.
	DefaultMaxFirstPolls = 128
	// maxQueuedActions bounds the actions that wait for the loop.
	maxQueuedActions = 4096
	// inboxPageLimit is the maximum number of inbox rows per page, and
	// maxInboxPages the maximum number of pages per read.
	inboxPageLimit = 200
	maxInboxPages  = 50
	// scanPageLimit is the number of rows per page when jobs and waves are
	// loaded; the store returns at most 500.
	scanPageLimit = 400
)

// Parts are the dependencies of a Controller.
type Parts struct {
	Table  primrosespar.Table
	Fleet  primrosespar.Fleet
	Source primrosespar.Source
	// Maintenance is nil if the platform has no machine maintenance.
	Maintenance primrosespar.MaintenanceService
	// Evacuations is read where EvacuationBound is set.
	Evacuations primrosespar.EvacuationSource
	// Peers and Hosts reach the other hosts, which send advice requests on
	// behalf of the holder. Hosts may be nil.
	Peers primrosespar.FleetPeers
	Hosts func() []netip.AddrPort
	// Host names this host to the provider of the machines.
	Host      primrosespar.Host
	Clock     primrosespar.Clock
	Committer *committer.Committer
	// Stopwatch measures the age of permissions; it may be nil.
	Stopwatch primrosespar.Stopwatch
	// Catalog returns the current catalog, or nil before the first one is read.
	Catalog func() *primrosespar.Catalog
	// WallClock converts a reading of Clock to wall-clock time.
	WallClock func(time.Time) time.Time
	// OnDecision receives decisions for the log; OnStoreAnswer is called
	// whenever the store has answered.
	OnDecision    func(scheduler.Event)
	OnStoreAnswer func()
	// OnError receives errors that do not end the term.
	OnError func(part string, err error)
}

// Options configure a Controller.
type Options struct {
	// Lease is how long a worker keeps its runs without a renewal.
	Lease time.Duration
	// LongestLease is the longest lease that a worker accepts; 0 means that it
	// is not longer than the others.
	LongestLease time.Duration
	// EarlierCommitAt is a time by which the earlier holder had sent its last
	// commit. The leases that it gave are counted from there.
	EarlierCommitAt time.Time
	// TurnInterval is the time between maintenance orders of two holders for
	// one machine.
	TurnInterval time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// MaxFirstPolls bounds the workers without runs whose first poll is in
	// flight.
	MaxFirstPolls int
	// JobMemory limits the memory of all live jobs.
	JobMemory int64
	// EvacuationBound is how long after an operator's request that a place is
	// emptied a start may still reach its workers. 0 means that there are no such
	// requests.
	EvacuationBound time.Duration
	// Accountant adds up the work that is lost.
	Accountant *accountant.Accountant
	// AssessWorkers makes the scheduler prefer workers that lately finished what
	// they got.
	AssessWorkers bool
}

// Option sets one option.
type Option func(*Options)

// WithLease sets how long a worker keeps its runs without a renewal.
func WithLease(lease time.Duration) Option { return func(o *Options) { o.Lease = lease } }

// WithLongestLease sets the longest lease that a worker accepts.
func WithLongestLease(lease time.Duration) Option {
	return func(o *Options) { o.LongestLease = lease }
}

// WithEarlierCommitAt sets a time by which the earlier holder had sent its last
// commit. The default is when the Controller is created.
func WithEarlierCommitAt(at time.Time) Option {
	return func(o *Options) { o.EarlierCommitAt = at }
}

// WithTurnInterval sets the time between maintenance orders of two holders for
// one machine.
func WithTurnInterval(interval time.Duration) Option {
	return func(o *Options) { o.TurnInterval = interval }
}

// WithGangTimeout sets how long a member of a gang waits for the others; 0
// keeps the default.
func WithGangTimeout(timeout time.Duration) Option {
	return func(o *Options) {
		if timeout > 0 {
			o.GangTimeout = timeout
		}
	}
}

// WithMaxFirstPolls bounds the workers without runs whose first poll is in
// flight, so that a host with little processor time still renews its lease
// while it gets to know a large fleet.
func WithMaxFirstPolls(n int) Option { return func(o *Options) { o.MaxFirstPolls = n } }

// WithAccountant sets what adds up the work that is lost. The default counts for
// this term only.
func WithAccountant(a *accountant.Accountant) Option {
	return func(o *Options) { o.Accountant = a }
}

// WithAssessment sets whether workers that lately finished what they got are
// preferred.
func WithAssessment(assess bool) Option { return func(o *Options) { o.AssessWorkers = assess } }

// WithJobMemory limits the memory of all live jobs; 0 keeps the default.
func WithJobMemory(limit int64) Option {
	return func(o *Options) {
		if limit > 0 {
			o.JobMemory = limit
		}
	}
}

// Controller runs one term of a holder of the fleet lease. It cannot be reused
// for another term.
type Controller struct {
	parts      Parts
	opts       Options
	token      primrosespar.Token
	fencer     *fencer.Fencer
	encoder    *encoder.Encoder
	scheduler  *scheduler.Scheduler
	maintainer *maintainer.Maintainer
	// evacuator is nil where there are no evacuations.
	evacuator *evacuator.Evacuator
	// maintenanceActive is set while a wave of maintenance is open.
	maintenanceActive atomic.Bool
	// actions are functions to run on the goroutine of the loop.
	actions chan func()
	// done is closed when the term has ended, endRequested by EndTerm.
	done         chan struct{}
	endRequested chan struct{}
	tasks        conc.WaitGroup
	ctx          context.Context

	// adviceHosts are the hosts that can send advice requests, with this host
	// as the zero address; adviceInFlight are those with a request in flight.
	adviceHosts    []netip.AddrPort
	adviceInFlight map[netip.AddrPort]bool

	pollers map[primrosespar.Worker]*workerPoller
	// committedStates are the stored states of the jobs. Callers see only
	// these, never a state whose commit is in flight.
	committedStates map[primrosespar.JobID]primrosespar.JobState
	// next collects changes for the next commit; inFlight is the batch that is
	// being committed, nil if there is none.
	next         *batch
	inFlight     *batch
	lastCommitAt time.Time
	// unconfirmedLoggedAt is when the age of the last confirmed commit was last
	// logged.
	unconfirmedLoggedAt time.Time
	// plannedAt is when the last plan was made, and planTime how long it took.
	plannedAt time.Time
	planTime  time.Duration
	catalog   *primrosespar.Catalog
	// termErr is the error that ends the term.
	termErr error
	// ending is set once EndTerm was called; nothing is planned after that.
	ending bool

	// commitStartedAt is the start of the commit in flight, in nanoseconds
	// after startedAt plus 1, or 0 if there is none.
	startedAt       time.Time
	commitStartedAt atomic.Int64
	// inboxRead is set once the inbox was read for the first time; until then
	// jobs may be missing from the count of waiting jobs.
	inboxRead bool
	// oddMessages are the keys of the messages that were reported because they
	// cannot be applied.
	oddMessages map[string]bool
	waiting     atomic.Pointer[map[primrosespar.Queue]int]
	// startsWithheld is set while no start may leave because the evacuations were
	// not read for too long.
	startsWithheld bool
	// evacuations are the requests at the last tick.
	evacuations atomic.Pointer[[]primrosespar.EvacuationView]
}

// New returns a Controller for the term of the committer's lease.
func New(parts Parts, opts ...Option) (*Controller, error) {
	o := Options{
		Lease: lessor.DefaultLease, EarlierCommitAt: parts.Clock.Now(), GangTimeout: scheduler.DefaultGangTimeout,
		MaxFirstPolls: DefaultMaxFirstPolls, JobMemory: scheduler.DefaultJobMemory, Accountant: accountant.New(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	enc, err := encoder.New()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		parts: parts, opts: o, encoder: enc, token: parts.Committer.Token(), fencer: fencer.New(parts.Committer.Token()),
		actions:         make(chan func(), maxQueuedActions),
		done:            make(chan struct{}),
		endRequested:    make(chan struct{}),
		pollers:         map[primrosespar.Worker]*workerPoller{},
		committedStates: map[primrosespar.JobID]primrosespar.JobState{},
		next:            newBatch(),
		startedAt:       parts.Clock.Now(),
		adviceHosts:     make([]netip.AddrPort, 1),
		adviceInFlight:  map[netip.AddrPort]bool{},
		oddMessages:     map[string]bool{},
		maintainer: maintainer.New(maintainer.WithRepeatFrom(
			o.EarlierCommitAt.Add(maxMaintenancePermission + maintenanceTimeout + o.TurnInterval))),
	}
	if o.EvacuationBound > 0 && parts.Evacuations != nil {
		c.evacuator = evacuator.New(o.EvacuationBound)
	}
	takeover := lessor.TakeoverWait(o.Lease, o.LongestLease)
	c.scheduler = scheduler.New(scheduler.WithWallClock(parts.WallClock),
		scheduler.WithTakeover(takeover), scheduler.WithTakeoverEnd(o.EarlierCommitAt.Add(takeover)),
		scheduler.WithRestartWait(lessor.RestartWait(o.Lease, o.LongestLease)),
		scheduler.WithGangTimeout(o.GangTimeout), scheduler.WithJobMemory(o.JobMemory),
		scheduler.WithLeaseExpiry(c.leaseExpiry), scheduler.WithRestartExpiry(c.restartExpiry),
		scheduler.WithAccountant(o.Accountant), scheduler.WithAssessment(o.AssessWorkers), scheduler.WithAccepts(c.evacuator.Accepts),
		scheduler.WithMayStart(c.mayStart))
	return c, nil
}

// Token returns the token of the term.
func (c *Controller) Token() primrosespar.Token { return c.token }

// EndTerm ends the term after the commit in flight, so that the lease can be
// released. It must be called at most once.
func (c *Controller) EndTerm() { close(c.endRequested) }

// Run loads the stored jobs and schedules until the lease is lost, EndTerm was
// called or the context ends. It returns nil only after EndTerm.
func (c *Controller) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	c.ctx = runCtx
	defer c.tasks.Wait()
	defer cancel()
	defer close(c.done)
	if err := c.load(runCtx); err != nil {
		return err
	}
	c.goTask("read of the workers", func() { c.runPeriodically(runCtx, workersInterval, c.readWorkers) })
	c.goTask("read of the inbox", func() { c.watchInbox(runCtx) })
	c.startMaintenance(runCtx)
	c.startEvacuations(runCtx)
	err := c.loop(runCtx)
	c.failPendingReplies(err)
	return err
}

// goTask runs f on its own goroutine. A panic ends the term, not the process:
// the host goes on serving callers, and another one may lead.
func (c *Controller) goTask(part string, f func()) {
	c.tasks.Go(func() {
		if recovered := panics.Try(f); recovered != nil {
			c.enqueue(func() { c.termErr = eris.Wrapf(recovered.AsError(), "%s panicked", part) })
		}
	})
}

// loop runs actions and plans until the term ends.
func (c *Controller) loop(ctx context.Context) error {
	tick := c.parts.Clock.After(tickInterval)
	endRequested := c.endRequested
	var planDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "run controller loop")
		case <-endRequested:
			endRequested, c.ending = nil, true
		case action := <-c.actions:
			action()
			c.runQueuedActions()
			if planDue == nil {
				planDue = c.parts.Clock.After(c.planInterval() - c.parts.Clock.Since(c.plannedAt))
			}
		case <-planDue:
			planDue = nil
			c.plan()
		case <-tick:
			tick = c.parts.Clock.After(tickInterval)
			c.planMaintenance(c.parts.Clock.Now())
			c.plan()
			c.runPeriodicTasks()
		}
		if c.termErr != nil {
			return c.termErr
		}
		if c.ending && c.inFlight == nil {
			return nil
		}
	}
}

// runQueuedActions runs all queued actions without planning in between.
func (c *Controller) runQueuedActions() {
	for {
		select {
		case action := <-c.actions:
			action()
		default:
			return
		}
	}
}

// planInterval returns the time between the last plan and the next one.
func (c *Controller) planInterval() time.Duration {
	return min(max(minPlanInterval, planIntervalFactor*c.planTime), maxPlanInterval)
}

// plan runs the scheduler, sends the orders that need not be stored first and
// adds the other changes to the next commit.
func (c *Controller) plan() {
	if c.ending {
		return
	}
	now := c.parts.Clock.Now()
	c.plannedAt = now
	if catalog := c.parts.Catalog(); catalog != c.catalog {
		c.catalog = catalog
		c.scheduler.SetCatalog(catalog)
	}
	changes := c.scheduler.Plan(now)
	c.planTime = c.parts.Clock.Since(now)
	for _, e := range changes.Events {
		c.parts.OnDecision(e)
	}
	for _, start := range changes.Withdrawals {
		if p := c.pollers[start.Worker]; p != nil {
			p.Withdraw(start.Run)
		}
	}
	mayOrder := c.mayOrder()
	for _, stop := range changes.Stops {
		switch p := c.pollers[stop.Worker]; {
		case p != nil && mayOrder:
			p.Stop(c.ctx, stop.Run)
		case p != nil:
			c.scheduler.HandleStopResult(stop, primrosespar.CodePeerUnavailable, now)
		}
	}
	for _, throttle := range changes.Throttles {
		p := c.pollers[throttle.Worker]
		if p == nil || !mayOrder {
			c.scheduler.HandleThrottleResult(throttle, primrosespar.CodePeerUnavailable, now)
			continue
		}
		p.Throttle(c.ctx, throttle.Run, throttle.Percent)
	}
	for _, request := range changes.AdviceRequests {
		c.requestAdvice(request)
	}
	c.next.add(changes)
	c.flush(now)
}

// runPeriodicTasks does the work that is due once per tick rather than after
// each plan.
func (c *Controller) runPeriodicTasks() {
	now := c.parts.Clock.Now()
	c.logUnconfirmed(now)
	c.withdrawSubmissions()
	for _, id := range c.scheduler.Forget(now.Add(-endedJobRetention)) {
		c.next.deleteJob(id)
		delete(c.committedStates, id)
	}
	c.updateAdviceHosts()
	if c.inboxRead {
		waiting := c.scheduler.Waiting()
		c.waiting.Store(&waiting)
	}
	c.updatePollers()
	c.logWithheld()
	evacuations := c.viewEvacuations()
	c.evacuations.Store(&evacuations)
}

// runPeriodically calls f at once and then again, an interval after each call
// ends, until the context ends.
func (c *Controller) runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(interval):
		}
	}
}

// enqueue queues f to run on the goroutine of the loop. It reports false if the
// term has ended.
func (c *Controller) enqueue(f func()) bool {
	select {
	case c.actions <- f:
		return true
	case <-c.done:
		return false
	}
}
