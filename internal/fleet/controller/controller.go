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
	// rosterInterval is the time between two reads of the workers; a leaving
	// worker has to be noticed within about 3 s.
	rosterInterval = time.Second
	// mailInterval is the time between two reads of the mail of hosts that
	// cannot reach the holder; a job has to be visible within 3 s.
	mailInterval = 2 * time.Second
	// signInterval bounds the time without a commit, by which other hosts see
	// that the holder lives.
	signInterval = 500 * time.Millisecond
	// tickInterval is the time between two looks at what time has changed.
	tickInterval = 100 * time.Millisecond
	// planInterval is the least time between two plans; what comes in meanwhile
	// is decided on together.
	planInterval = 15 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 1500 * time.Millisecond
	// stuckTime is how long a commit may take before new work is refused.
	stuckTime = 700 * time.Millisecond
	// retention is how long an ended job can be asked for; the platform asks
	// for 120 s.
	retention = 150 * time.Second
	// queueLength bounds the posts that wait.
	queueLength = 4096
	// mailLimit bounds one read of the mail.
	mailLimit = 200
	// pageLimit is the number of rows of one read; the store returns at most
	// 500.
	pageLimit = 400
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
	core       *scheduler.Scheduler
	maintainer *maintainer.Maintainer
	// maintaining is set while a wave of maintenance is open.
	maintaining atomic.Bool
	posts       chan func()
	done        chan struct{}
	retire      chan struct{}
	tasks       conc.WaitGroup
	ctx         context.Context

	// askers are the hosts that can put questions, this one as the zero address,
	// and asking those that have one out.
	askers []netip.AddrPort
	asking map[netip.AddrPort]bool

	attendants map[primrosespar.Worker]*attended
	// shown are the stored states of jobs; callers see nothing else.
	shown  map[primrosespar.JobID]primrosespar.JobState
	next   *batch
	flying *batch
	sentAt time.Time
	// plannedAt is when the last plan was made.
	plannedAt time.Time
	catalog   *primrosespar.Catalog
	lost      error
	// retiring is set once the term is to end.
	retiring bool

	// stuckSince is the start of the commit in flight in nanoseconds since
	// began, 0 without one.
	began      time.Time
	stuckSince atomic.Int64
	// mailRead is set once the mail of hosts without a holder was read.
	mailRead bool
	waiting  atomic.Pointer[map[primrosespar.Queue]int]
}

// attended is the contact with one worker and what ends it.
type attended struct {
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
		posts:      make(chan func(), queueLength),
		done:       make(chan struct{}),
		retire:     make(chan struct{}),
		attendants: map[primrosespar.Worker]*attended{},
		shown:      map[primrosespar.JobID]primrosespar.JobState{},
		next:       newBatch(),
		began:      parts.Clock.Now(),
		askers:     make([]netip.AddrPort, 1),
		asking:     map[netip.AddrPort]bool{},
		maintainer: maintainer.New(),
	}
	c.core = scheduler.New(scheduler.WithWallClock(parts.WallClock), scheduler.WithTakeover(o.Takeover),
		scheduler.WithGangTimeout(o.GangTimeout), scheduler.WithLeaseExpiry(c.lapse))
	return c, nil
}

// Token returns the token of the term.
func (c *Controller) Token() primrosespar.Token { return c.token }

// EndTerm ends the term once the commit in flight is over, so that the lease
// can be given up. It is called once.
func (c *Controller) EndTerm() { close(c.retire) }

// Run conducts until the lease is lost or the context ends.
func (c *Controller) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	c.ctx = inner
	defer c.tasks.Wait()
	defer cancel()
	defer close(c.done)
	if err := c.load(inner); err != nil {
		return err
	}
	c.tasks.Go(func() { c.every(inner, rosterInterval, c.readRoster) })
	c.tasks.Go(func() { c.every(inner, mailInterval, c.readMail) })
	c.startUpkeep(inner)
	err := c.loop(inner)
	c.settleAll(err)
	return err
}

// loop runs posts and plans until the term ends.
func (c *Controller) loop(ctx context.Context) error {
	tick := c.parts.Clock.After(tickInterval)
	retire := c.retire
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "conductor")
		case <-retire:
			retire, c.retiring = nil, true
		case post := <-c.posts:
			post()
			c.drain()
			if due == nil {
				due = c.parts.Clock.After(planInterval - c.parts.Clock.Since(c.plannedAt))
			}
		case <-due:
			due = nil
			c.plan()
		case <-tick:
			tick = c.parts.Clock.After(tickInterval)
			c.maintain(c.parts.Clock.Now())
			c.plan()
			c.tidy()
		}
		if c.lost != nil {
			return c.lost
		}
		if c.retiring && c.flying == nil {
			return nil
		}
	}
}

// drain runs the posts that are there without planning in between.
func (c *Controller) drain() {
	for {
		select {
		case post := <-c.posts:
			post()
		default:
			return
		}
	}
}

// plan lets the scheduler decide and moves what it decided on.
func (c *Controller) plan() {
	if c.retiring {
		return
	}
	now := c.parts.Clock.Now()
	c.plannedAt = now
	if catalog := c.parts.Catalog(); catalog != c.catalog {
		c.catalog = catalog
		c.core.SetCatalog(catalog)
	}
	changes := c.core.Plan(now)
	for _, e := range changes.Events {
		c.parts.OnDecision(e)
	}
	for _, stop := range changes.Stops {
		if a := c.attendants[stop.Worker]; a != nil {
			a.Stop(c.ctx, stop.Run)
		}
	}
	for _, pace := range changes.Throttles {
		a := c.attendants[pace.Worker]
		if a == nil {
			c.core.Throttled(pace, primrosespar.CodePeerUnavailable, now)
			continue
		}
		a.Throttle(c.ctx, pace.Run, pace.Percent)
	}
	for _, question := range changes.AdviceRequests {
		c.ask(question)
	}
	c.next.add(changes)
	c.flush(now)
}

// tidy does what need not be done at each plan.
func (c *Controller) tidy() {
	now := c.parts.Clock.Now()
	for _, id := range c.core.Forget(now.Add(-retention)) {
		c.next.forget(id)
		delete(c.shown, id)
	}
	c.findAskers()
	if c.mailRead {
		waiting := c.core.Waiting()
		c.waiting.Store(&waiting)
	}
	c.attend()
}

// attend tells the pollers which workers have to be looked at.
func (c *Controller) attend() {
	busy := map[primrosespar.Worker]bool{}
	for _, member := range c.core.WorkersToPoll() {
		busy[member.Worker] = true
		a := c.attendants[member.Worker]
		if a == nil {
			a = c.employ(member)
		}
		a.SetWorker(member)
	}
	for name, a := range c.attendants {
		a.SetBusy(busy[name])
		a.SetShared(c.core.Shared(name))
	}
}

// employ starts the contact with a worker.
func (c *Controller) employ(member primrosespar.WorkerInfo) *attended {
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attended{
		Poller: poller.New(c.parts.Fleet, c.parts.Clock, member, c.Token(), sink{c}, poller.WithLease(c.opts.Lease)),
		cancel: cancel,
	}
	c.attendants[member.Worker] = a
	c.tasks.Go(func() { a.Run(ctx) })
	return a
}

// lapse returns when the last lease that has left for the worker has ended.
func (c *Controller) lapse(worker primrosespar.Worker) time.Time {
	if a := c.attendants[worker]; a != nil {
		return a.LeaseExpiry()
	}
	return time.Time{}
}

// takeRoster applies a read of the workers.
func (c *Controller) takeRoster(members []primrosespar.WorkerInfo) {
	for _, worker := range c.core.SetWorkers(members, c.parts.Clock.Now()) {
		if a := c.attendants[worker]; a != nil {
			a.Reset()
		}
	}
	for worker, a := range c.attendants {
		if !c.core.Knows(worker) {
			a.cancel()
			delete(c.attendants, worker)
		}
	}
}

// every calls the function at the interval.
func (c *Controller) every(ctx context.Context, interval time.Duration, call func(context.Context)) {
	for ctx.Err() == nil {
		call(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(interval):
		}
	}
}

// readRoster reads the workers that announce themselves.
func (c *Controller) readRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, err := c.parts.Source.ListWorkers(ctx)
	if err != nil {
		c.parts.OnError("roster", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.post(func() { c.takeRoster(members) })
}

// post runs the function on the goroutine of the loop.
func (c *Controller) post(f func()) bool {
	select {
	case c.posts <- f:
		return true
	case <-c.done:
		return false
	}
}

// sink passes what pollers get to the loop.
type sink struct{ c *Controller }

// Reported implements poller.Sink.
func (s sink) Reported(worker primrosespar.Worker, report primrosespar.WorkerReport, asked, lapse time.Time) {
	s.c.post(func() {
		if s.c.core.Report(worker, report, asked, lapse, s.c.parts.Clock.Now()) {
			if a := s.c.attendants[worker]; a != nil {
				a.Reset()
			}
		}
	})
}

// Silent implements poller.Sink.
func (s sink) Silent(worker primrosespar.Worker, lapse time.Time, err error) {
	s.c.post(func() {
		s.c.core.Silent(worker, lapse)
		s.c.parts.OnDecision(scheduler.Event{Kind: "worker_silent", Worker: worker, Detail: err.Error()})
		s.c.takeRefusal(worker, primrosespar.CodeOf(err))
	})
}

// Throttled implements poller.Sink.
func (s sink) Throttled(worker primrosespar.Worker, run primrosespar.Run, percent int, err error) {
	s.c.post(func() {
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		s.c.core.Throttled(scheduler.Throttle{Worker: worker, Run: run, Percent: percent}, code, s.c.parts.Clock.Now())
		s.c.takeRefusal(worker, code)
	})
}

// takeRefusal draws what a refusal says of the worker or of the term.
func (c *Controller) takeRefusal(worker primrosespar.Worker, code primrosespar.Code) {
	switch code {
	case primrosespar.CodeStaleToken:
		c.lost = primrosespar.Fail(primrosespar.CodeLeaseLost, "worker %s has seen a later holder", worker)
	case primrosespar.CodeWorkerRestarted:
		c.core.Replaced(worker, c.parts.Clock.Now())
		// What it knows of ends and clocks says nothing of a later lifetime.
		if a := c.attendants[worker]; a != nil {
			a.cancel()
			delete(c.attendants, worker)
		}
	default:
	}
}

// Answered implements poller.Sink.
func (s sink) Answered(worker primrosespar.Worker, run primrosespar.Run, start bool, lapse time.Time, err error) {
	s.c.post(func() {
		now := s.c.parts.Clock.Now()
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		o := scheduler.Order{Worker: worker, Run: run}
		if start {
			s.c.core.Leased(worker, lapse)
			s.c.core.Started(o, code, now)
		} else {
			s.c.core.Stopped(o, code, now)
		}
		s.c.takeRefusal(worker, code)
	})
}
