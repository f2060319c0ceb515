// Package controller drives the placement and the gangs of one place while its
// host holds the place lease.
//
// The controller is the shell round three parts without input or output: the
// lease, the planner and one assembler per gang. One goroutine owns the
// planner and the gangs; table writes and worker commands run beside it and
// hand their results back over channels.
//
// # Usage
//
//	c := controller.New(controller.Parts{Table: table, Workers: workers, ...})
//	err := c.Run(ctx) // until ctx is done
//
// When the table is away the controller goes on renewing worker leases, takes
// reports and stops what has to stop, but places nothing.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/place/assembler"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

// Parts are what a Controller works with.
type Parts struct {
	Place     primrosespar.Place
	Host      primrosespar.Host
	Table     primrosespar.Table
	Workers   primrosespar.Workers
	Clock     primrosespar.Clock
	Lease     *leaser.Leaser
	Contracts primrosespar.ContractSource
	Recorder  primrosespar.Recorder
	// Planner returns an empty planner; each tenure starts with a new one.
	Planner func() primrosespar.Planner
	// OnError is told of errors that the controller goes on after.
	OnError func(error)
}

// gangEntry is one job that this holder knows of.
type gangEntry struct {
	gang primrosespar.Gang
	// version is the version of the job's row in the table.
	version primrosespar.Version
	// assembler is nil while the job is queued.
	assembler *assembler.Assembler
	// slices are the slices under which the gang is indexed by worker.
	slices []primrosespar.Slice
	// writing is true while a write of the row is under way; written is the
	// state that it writes.
	writing      bool
	writtenState primrosespar.GangState
}

// Controller drives one place.
type Controller struct {
	parts   Parts
	options Options

	// loadedToken is the token that the state below belongs to; zero without one.
	loadedToken primrosespar.Token
	// epoch tells results of an earlier tenure from those of this one.
	epoch   uint64
	planner primrosespar.Planner
	gangs   map[primrosespar.JobID]*gangEntry
	// active are the gangs that have something to do; a gang that just runs
	// costs nothing until one of its workers reports.
	active           map[primrosespar.JobID]bool
	gangsByWorker    map[primrosespar.Worker]map[primrosespar.JobID]bool
	workerCursor     uint64
	contractRevision primrosespar.Revision
	lastInboxScan    time.Time
	// commitsPausedUntil delays writes after the table was found unavailable.
	commitsPausedUntil time.Time
	inFlight           int
	quarantine         quarantineState

	notifications chan primrosespar.JobID
	results       chan func(context.Context)

	mu      sync.Mutex
	state   primrosespar.PlaceState
	workers []primrosespar.Worker
}

// New returns a Controller; it does nothing before Run.
func New(parts Parts, opts ...Option) *Controller {
	return &Controller{
		parts:         parts,
		options:       newOptions(opts),
		gangs:         map[primrosespar.JobID]*gangEntry{},
		active:        map[primrosespar.JobID]bool{},
		gangsByWorker: map[primrosespar.Worker]map[primrosespar.JobID]bool{},
		notifications: make(chan primrosespar.JobID, notificationBacklog),
		results:       make(chan func(context.Context), resultBacklog),
	}
}

// Bounds of the controller's channels. A notification that does not fit is dropped:
// the next scan of the inbox finds the job.
const (
	notificationBacklog = 256
	resultBacklog       = 64
)

// Notify says that a job was submitted or cancelled; it never blocks.
func (c *Controller) Notify(id primrosespar.JobID) {
	select {
	case c.notifications <- id:
	default:
	}
}

// State returns the place's state as of the last plan, and whether this host
// runs the place.
func (c *Controller) State() (primrosespar.PlaceState, bool) {
	_, held := c.parts.Lease.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, held
}

// Run drives the place until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { c.runPeriodically(ctx, c.options.Renewal, c.stepLease) })
	wg.Go(func() { c.runPeriodically(ctx, c.options.WorkerRenewal, c.renewWorkerLeases) })
	c.loop(ctx)
	wg.Wait()
	return ctx.Err()
}

// runPeriodically calls f at once and then each period.
func (c *Controller) runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(period):
		}
	}
}

func (c *Controller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.tick(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(c.options.MaxTickInterval):
		case id := <-c.notifications:
			c.lastInboxScan = time.Time{}
			c.drainNotifications(id)
		case apply := <-c.results:
			apply(ctx)
		}
	}
}

// drainNotifications empties the backlog: one scan of the inbox serves all.
func (c *Controller) drainNotifications(primrosespar.JobID) {
	for {
		select {
		case <-c.notifications:
		default:
			return
		}
	}
}

func (c *Controller) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Renewal)
	defer cancel()
	c.reportError(c.parts.Lease.Step(ctx))
}

// tick does one round: reports, inbox, plan, gangs.
func (c *Controller) tick(ctx context.Context) {
	if !c.ensureLoaded(ctx) {
		return
	}
	c.readWorkerChanges(ctx)
	c.updateContracts()
	if _, held := c.parts.Lease.Held(); held {
		c.processInbox(ctx)
		c.advanceQuarantine()
		c.applyPlan()
		c.saveQuarantine(ctx)
	}
	c.stepGangs(ctx)
	c.publishState()
}

// ensureLoaded reports whether this host runs the place, and loads the place's
// state when the tenure is new.
func (c *Controller) ensureLoaded(ctx context.Context) bool {
	token, owned := c.parts.Lease.Token()
	if !owned {
		c.reset(0)
		return false
	}
	if token == c.loadedToken {
		return true
	}
	if _, held := c.parts.Lease.Held(); !held {
		return false
	}
	c.reset(token)
	if err := c.load(ctx); err != nil {
		c.reportError(err)
		c.reset(0)
		return false
	}
	c.record(primrosespar.Decision{
		Kind: primrosespar.DecisionLease, Code: primrosespar.CodeOK, Subject: string(c.parts.Place),
		Detail:  "this host runs the placement of the place",
		Figures: []primrosespar.Figure{{Name: "token", Value: float64(token)}, {Name: "gangs", Value: float64(len(c.gangs))}},
	})
	return true
}

func (c *Controller) reset(token primrosespar.Token) {
	if token == 0 && c.loadedToken == 0 {
		return
	}
	c.loadedToken = token
	c.epoch++
	c.planner = c.parts.Planner()
	c.quarantine = quarantineState{tracker: quarantiner.New()}
	c.gangs = map[primrosespar.JobID]*gangEntry{}
	c.active = map[primrosespar.JobID]bool{}
	c.gangsByWorker = map[primrosespar.Worker]map[primrosespar.JobID]bool{}
	c.workerCursor = 0
	c.contractRevision = 0
	c.lastInboxScan = time.Time{}
}

// readWorkerChanges reads what changed at the workers.
func (c *Controller) readWorkerChanges(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, c.options.WorkerTimeout)
	defer cancel()
	entries, cursor, err := c.parts.Workers.Changes(call, c.parts.Place, c.workerCursor)
	if err != nil {
		c.reportError(err)
		return
	}
	c.workerCursor = cursor
	if len(entries) == 0 {
		return
	}
	c.planner.SetWorkers(entries)
	c.updateLiveWorkers(entries)
	now := c.parts.Clock.Now()
	var orphans []primrosespar.Command
	for _, e := range entries {
		c.observeWorker(e, now)
		orphans = append(orphans, c.orphanCommands(e)...)
	}
	c.sendCommands(ctx, orphans)
}

// observeWorker tells the gangs on a worker of its report.
func (c *Controller) observeWorker(e primrosespar.WorkerEntry, now time.Time) {
	for id := range c.gangsByWorker[e.Worker] {
		c.gangs[id].assembler.Observe(e, now)
		c.active[id] = true
	}
}

// orphanCommands returns the commands for tasks that belong to no attempt of this
// tenure: what still works is stopped, what ended is forgotten.
func (c *Controller) orphanCommands(e primrosespar.WorkerEntry) []primrosespar.Command {
	var out []primrosespar.Command
	for _, t := range e.Tasks {
		if entry, known := c.gangs[t.Gang]; known && entry.assembler != nil && entry.assembler.Gang().Attempt <= t.Attempt {
			continue
		}
		kind := primrosespar.CommandForget
		if t.State == primrosespar.TaskHeld || t.State == primrosespar.TaskRunning {
			kind = primrosespar.CommandStop
		}
		out = append(out, primrosespar.Command{Worker: e.Worker, Kind: kind, Gang: t.Gang, Member: t.Member, Attempt: t.Attempt})
	}
	return out
}

func (c *Controller) updateLiveWorkers(entries []primrosespar.WorkerEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[primrosespar.Worker]bool{}
	for _, w := range c.workers {
		known[w] = true
	}
	for _, e := range entries {
		known[e.Worker] = e.Alive
	}
	c.workers = c.workers[:0]
	for w, alive := range known {
		if alive {
			c.workers = append(c.workers, w)
		}
	}
}

// renewWorkerLeases renews the lease of every worker of the place. It needs no
// table, so gangs outlive an outage of the store.
func (c *Controller) renewWorkerLeases(ctx context.Context) {
	token, owned := c.parts.Lease.Token()
	if !owned {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.WorkerTimeout)
	defer cancel()
	c.mu.Lock()
	commands := make([]primrosespar.Command, 0, len(c.workers))
	for _, w := range c.workers {
		commands = append(commands, primrosespar.Command{Worker: w, Kind: primrosespar.CommandRenew, Lease: c.options.WorkerLease})
	}
	c.mu.Unlock()
	if len(commands) == 0 {
		return
	}
	results, err := c.parts.Workers.Do(ctx, c.parts.Place, token, commands)
	if err != nil {
		c.reportError(err)
		return
	}
	for _, result := range results {
		if result.Code == primrosespar.CodeStaleToken {
			c.parts.Lease.StepDown()
			return
		}
	}
}

func (c *Controller) updateContracts() {
	view, _ := c.parts.Contracts.View()
	if view.Revision != c.contractRevision {
		c.contractRevision = view.Revision
		c.planner.SetContracts(view)
	}
}

// publishState makes the state readable for other goroutines.
func (c *Controller) publishState() {
	state := c.planner.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

func (c *Controller) reportError(err error) {
	if err != nil && c.parts.OnError != nil {
		c.parts.OnError(err)
	}
}

func (c *Controller) record(d primrosespar.Decision) {
	d.At = c.parts.Clock.Now()
	d.Place = c.parts.Place
	d.Host = c.parts.Host
	c.parts.Recorder.Record(d)
}
