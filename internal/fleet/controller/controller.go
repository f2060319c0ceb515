// Package controller runs the scheduler of a fleet while this host holds the
// lease: it feeds the decisions with what comes in, stores them and then sends
// the orders.
//
// # Usage
//
//	c := controller.New(parts, controller.WithLease(6*time.Second))
//	err := c.Run(ctx) // returns when the lease is lost or the context ends
//
// One goroutine owns the scheduler; everything else posts to it. At most one
// commit is in flight. What is decided meanwhile goes into the next one, so
// the number of transactions follows the latency of the store and not the
// number of decisions. Starts, acknowledged ends and answers to callers wait
// for the commit that carries them.
package controller

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
	"primrosespar.example/primrosespar/internal/fleet/poller"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Times of the loop.
const (
	// workersInterval is the time between two reads of the workers; a leaving
	// worker has to be noticed within about 3 s.
	workersInterval = time.Second
	// inboxInterval is the time between two reads of the mail of hosts that
	// cannot reach the holder; a job has to be visible within 3 s.
	inboxInterval = 2 * time.Second
	// keepaliveInterval bounds the time without a commit, by which other hosts see
	// that the holder lives.
	keepaliveInterval = 500 * time.Millisecond
	// tickInterval is the time between two looks at what time has changed.
	tickInterval = 100 * time.Millisecond
	// minPlanInterval is the least time between two plans; what comes in meanwhile
	// is decided on together.
	minPlanInterval = 15 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 1500 * time.Millisecond
	// stallThreshold is how long a commit may take before new work is refused.
	stallThreshold = 700 * time.Millisecond
	// endedJobRetention is how long an ended job can be asked for; the platform asks
	// for 120 s.
	endedJobRetention = 150 * time.Second
	// maxQueuedActions bounds the posts that wait.
	maxQueuedActions = 4096
	// inboxPageLimit bounds one read of the mail.
	inboxPageLimit = 200
	// scanPageLimit is the number of rows of one read; the store returns at most
	// 500.
	scanPageLimit = 400
)

// Parts are what a Controller works with.
type Parts struct {
	Table  primrosespar.Table
	Fleet  primrosespar.Fleet
	Source primrosespar.Source
	// Maintenance is nil where no machines are maintained.
	Maintenance primrosespar.MaintenanceService
	// Peers and Hosts are the other hosts, which put questions for the holder.
	Peers primrosespar.FleetPeers
	Hosts func() []netip.AddrPort
	// Host names this host to the provider of the machines.
	Host      primrosespar.Host
	Clock     primrosespar.Clock
	Committer *committer.Committer
	// Catalog returns the catalog in force.
	Catalog func() *primrosespar.Catalog
	// WallClock returns the wall clock for a reading of the clock.
	WallClock func(time.Time) time.Time
	// OnDecision takes decisions for the log; OnStoreAnswer is called whenever
	// the store has answered.
	OnDecision    func(scheduler.Event)
	OnStoreAnswer func()
	// OnError takes errors that the controller goes on after.
	OnError func(part string, err error)
}

// Options configure a Controller.
type Options struct {
	Lease       time.Duration
	Takeover    time.Duration
	GangTimeout time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithLease sets how long a worker goes on without a renewal.
func WithLease(lease time.Duration) Option { return func(o *Options) { o.Lease = lease } }

// WithTakeover sets how long runs of an earlier holder may live on.
func WithTakeover(takeover time.Duration) Option { return func(o *Options) { o.Takeover = takeover } }

// WithGangTimeout sets how long a member of a gang waits for the others; 0 is
// the default.
func WithGangTimeout(timeout time.Duration) Option {
	return func(o *Options) {
		if timeout > 0 {
			o.GangTimeout = timeout
		}
	}
}

// Controller runs one term of one holder. It is used once.
type Controller struct {
	parts      Parts
	opts       Options
	token      primrosespar.Token
	encoder    *encoder.Encoder
	scheduler  *scheduler.Scheduler
	maintainer *maintainer.Maintainer
	// maintenanceActive is set while a wave of maintenance is open.
	maintenanceActive atomic.Bool
	actions           chan func()
	done              chan struct{}
	endRequested      chan struct{}
	tasks             conc.WaitGroup
	ctx               context.Context

	// adviceHosts are the hosts that can put questions, this one as the zero address,
	// and asking those that have one out.
	adviceHosts    []netip.AddrPort
	adviceInFlight map[netip.AddrPort]bool

	pollers map[primrosespar.Worker]*workerPoller
	// committedStates are the stored states of jobs; callers see nothing else.
	committedStates map[primrosespar.JobID]primrosespar.JobState
	next            *batch
	inFlight        *batch
	lastCommitAt    time.Time
	// plannedAt is when the last plan was made.
	plannedAt time.Time
	catalog   *primrosespar.Catalog
	termErr   error
	// ending is set once the term is to end.
	ending bool

	// commitStartedAt is the start of the commit in flight in nanoseconds since
	// began, 0 without one.
	startedAt       time.Time
	commitStartedAt atomic.Int64
	// inboxRead is set once the mail of hosts without a holder was read.
	inboxRead bool
	waiting   atomic.Pointer[map[primrosespar.Queue]int]
}

// workerPoller is the contact with one worker and what ends it.
type workerPoller struct {
	*poller.Poller
	cancel context.CancelFunc
}

// New returns a Controller for the term of the committer's lease.
func New(parts Parts, opts ...Option) (*Controller, error) {
	o := Options{Lease: poller.DefaultLease, Takeover: scheduler.DefaultTakeover, GangTimeout: scheduler.DefaultGangTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	enc, err := encoder.New()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		parts: parts, opts: o, encoder: enc, token: parts.Committer.Token(),
		actions:         make(chan func(), maxQueuedActions),
		done:            make(chan struct{}),
		endRequested:    make(chan struct{}),
		pollers:         map[primrosespar.Worker]*workerPoller{},
		committedStates: map[primrosespar.JobID]primrosespar.JobState{},
		next:            newBatch(),
		startedAt:       parts.Clock.Now(),
		adviceHosts:     make([]netip.AddrPort, 1),
		adviceInFlight:  map[netip.AddrPort]bool{},
		maintainer:      maintainer.New(),
	}
	c.scheduler = scheduler.New(scheduler.WithWallClock(parts.WallClock), scheduler.WithTakeover(o.Takeover),
		scheduler.WithGangTimeout(o.GangTimeout), scheduler.WithLeaseExpiry(c.leaseExpiry))
	return c, nil
}

// Token returns the token of the term.
func (c *Controller) Token() primrosespar.Token { return c.token }

// EndTerm ends the term once the commit in flight is over, so that the lease
// can be given up. It is called once.
func (c *Controller) EndTerm() { close(c.endRequested) }

// Run conducts until the lease is lost or the context ends.
func (c *Controller) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	c.ctx = runCtx
	defer c.tasks.Wait()
	defer cancel()
	defer close(c.done)
	if err := c.load(runCtx); err != nil {
		return err
	}
	c.tasks.Go(func() { c.every(runCtx, workersInterval, c.readWorkers) })
	c.tasks.Go(func() { c.every(runCtx, inboxInterval, c.readInbox) })
	c.startMaintenance(runCtx)
	err := c.loop(runCtx)
	c.failPendingReplies(err)
	return err
}

// loop runs posts and plans until the term ends.
func (c *Controller) loop(ctx context.Context) error {
	tick := c.parts.Clock.After(tickInterval)
	endRequested := c.endRequested
	var planDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "conductor")
		case <-endRequested:
			endRequested, c.ending = nil, true
		case action := <-c.actions:
			action()
			c.runQueuedActions()
			if planDue == nil {
				planDue = c.parts.Clock.After(minPlanInterval - c.parts.Clock.Since(c.plannedAt))
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

// runQueuedActions runs the posts that are there without planning in between.
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

// plan lets the scheduler decide and moves what it decided on.
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
	for _, e := range changes.Events {
		c.parts.OnDecision(e)
	}
	for _, stop := range changes.Stops {
		if p := c.pollers[stop.Worker]; p != nil {
			p.Stop(c.ctx, stop.Run)
		}
	}
	for _, throttle := range changes.Throttles {
		p := c.pollers[throttle.Worker]
		if p == nil {
			c.scheduler.Throttled(throttle, primrosespar.CodePeerUnavailable, now)
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

// runPeriodicTasks does what need not be done at each plan.
func (c *Controller) runPeriodicTasks() {
	now := c.parts.Clock.Now()
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
}

// updatePollers tells the pollers which workers have to be looked at.
func (c *Controller) updatePollers() {
	busy := map[primrosespar.Worker]bool{}
	for _, info := range c.scheduler.WorkersToPoll() {
		busy[info.Worker] = true
		p := c.pollers[info.Worker]
		if p == nil {
			p = c.startPoller(info)
		}
		p.SetWorker(info)
	}
	for name, p := range c.pollers {
		p.SetBusy(busy[name])
		p.SetShared(c.scheduler.Shared(name))
	}
}

// startPoller starts the contact with a worker.
func (c *Controller) startPoller(info primrosespar.WorkerInfo) *workerPoller {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &workerPoller{
		Poller: poller.New(c.parts.Fleet, c.parts.Clock, info, c.Token(), pollSink{c}, poller.WithLease(c.opts.Lease)),
		cancel: cancel,
	}
	c.pollers[info.Worker] = p
	c.tasks.Go(func() { p.Run(ctx) })
	return p
}

// leaseExpiry returns when the last lease that has left for the worker has ended.
func (c *Controller) leaseExpiry(worker primrosespar.Worker) time.Time {
	if p := c.pollers[worker]; p != nil {
		return p.LeaseExpiry()
	}
	return time.Time{}
}

// applyWorkers applies a read of the workers.
func (c *Controller) applyWorkers(workers []primrosespar.WorkerInfo) {
	for _, worker := range c.scheduler.SetWorkers(workers, c.parts.Clock.Now()) {
		if p := c.pollers[worker]; p != nil {
			p.Reset()
		}
	}
	for worker, p := range c.pollers {
		if !c.scheduler.Knows(worker) {
			p.cancel()
			delete(c.pollers, worker)
		}
	}
}

// every calls the function at the interval.
func (c *Controller) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(interval):
		}
	}
}

// readWorkers reads the workers that announce themselves.
func (c *Controller) readWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	workers, err := c.parts.Source.ListWorkers(ctx)
	if err != nil {
		c.parts.OnError("roster", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.enqueue(func() { c.applyWorkers(workers) })
}

// action runs the function on the goroutine of the loop.
func (c *Controller) enqueue(f func()) bool {
	select {
	case c.actions <- f:
		return true
	case <-c.done:
		return false
	}
}

// pollSink passes what pollers get to the loop.
type pollSink struct{ c *Controller }

// OnReport implements poller.Sink.
func (s pollSink) OnReport(worker primrosespar.Worker, report primrosespar.WorkerReport, requestedAt, leaseExpiry time.Time) {
	s.c.enqueue(func() {
		if s.c.scheduler.Report(worker, report, requestedAt, leaseExpiry, s.c.parts.Clock.Now()) {
			if p := s.c.pollers[worker]; p != nil {
				p.Reset()
			}
		}
	})
}

// OnPollError implements poller.Sink.
func (s pollSink) OnPollError(worker primrosespar.Worker, leaseExpiry time.Time, err error) {
	s.c.enqueue(func() {
		s.c.scheduler.Silent(worker, leaseExpiry)
		s.c.parts.OnDecision(scheduler.Event{Kind: "worker_silent", Worker: worker, Detail: err.Error()})
		s.c.handleRefusal(worker, primrosespar.CodeOf(err))
	})
}

// OnThrottleResult implements poller.Sink.
func (s pollSink) OnThrottleResult(worker primrosespar.Worker, run primrosespar.Run, percent int, err error) {
	s.c.enqueue(func() {
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		s.c.scheduler.Throttled(scheduler.Throttle{Worker: worker, Run: run, Percent: percent}, code, s.c.parts.Clock.Now())
		s.c.handleRefusal(worker, code)
	})
}

// handleRefusal draws what a refusal says of the worker or of the term.
func (c *Controller) handleRefusal(worker primrosespar.Worker, code primrosespar.Code) {
	switch code {
	case primrosespar.CodeStaleToken:
		c.termErr = primrosespar.Fail(primrosespar.CodeLeaseLost, "worker %s has seen a later holder", worker)
	case primrosespar.CodeWorkerRestarted:
		c.scheduler.Replaced(worker, c.parts.Clock.Now())
		// What it knows of ends and clocks says nothing of a later lifetime.
		if p := c.pollers[worker]; p != nil {
			p.cancel()
			delete(c.pollers, worker)
		}
	default:
	}
}

// OnOrderResult implements poller.Sink.
func (s pollSink) OnOrderResult(worker primrosespar.Worker, run primrosespar.Run, start bool, leaseExpiry time.Time, err error) {
	s.c.enqueue(func() {
		now := s.c.parts.Clock.Now()
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		order := scheduler.Order{Worker: worker, Run: run}
		if start {
			s.c.scheduler.Leased(worker, leaseExpiry)
			s.c.scheduler.Started(order, code, now)
		} else {
			s.c.scheduler.Stopped(order, code, now)
		}
		s.c.handleRefusal(worker, code)
	})
}
