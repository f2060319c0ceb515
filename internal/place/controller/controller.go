// Package controller places the jobs of one place and runs their gangs while
// its host holds the place lease.
//
// The controller does the I/O for the planner and for one assembler per gang,
// which do none of their own. One goroutine, the main loop, owns the planner
// and the gangs. Table writes and worker commands run in goroutines of their
// own and return their results to the loop over a channel.
//
// # Usage
//
//	c := controller.New(controller.Parts{Table: table, Workers: workers, ...})
//	err := c.Run(ctx) // until ctx is done
//
// While the table is unavailable, the controller still renews worker leases,
// reads worker reports and stops gangs that must stop, but places no jobs.
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

// Parts are the dependencies of a Controller.
type Parts struct {
	Place     primrosespar.Place
	Host      primrosespar.Host
	Table     primrosespar.Table
	Workers   primrosespar.Workers
	Clock     primrosespar.Clock
	Lease     *leaser.Leaser
	Contracts primrosespar.ContractSource
	Recorder  primrosespar.Recorder
	// Planner returns an empty planner. The controller creates a new one each
	// time that its host acquires the place lease.
	Planner func() primrosespar.Planner
	// OnError is called with errors that do not stop the controller; it may be
	// nil.
	OnError func(error)
}

// gangEntry is the state of one job that has not ended.
type gangEntry struct {
	// gang is the job's row as last read, planned or committed.
	gang primrosespar.Gang
	// version is the version of the job's row in the table.
	version primrosespar.Version
	// assembler is nil while the job is queued.
	assembler *assembler.Assembler
	// slices are those under which gangsByWorker lists the gang.
	slices []primrosespar.Slice
	// writing is true while a write of the row is in flight; writtenState is
	// the gang state in that write.
	writing      bool
	writtenState primrosespar.GangState
}

// Controller schedules the jobs of one place.
type Controller struct {
	parts   Parts
	options Options

	// loadedToken is the fencing token of the lease under which the state below
	// was loaded; zero if none is loaded.
	loadedToken primrosespar.Token
	// epoch increases with each reset, so that results of calls made before the
	// reset are recognised and ignored.
	epoch   uint64
	planner primrosespar.Planner
	gangs   map[primrosespar.JobID]*gangEntry
	// active are the gangs to step in the next round. A running gang is not in
	// it until one of its workers reports.
	active           map[primrosespar.JobID]bool
	gangsByWorker    map[primrosespar.Worker]map[primrosespar.JobID]bool
	workerCursor     uint64
	contractRevision primrosespar.Revision
	lastInboxScan    time.Time
	// commitsPausedUntil delays writes to the table after a failed one.
	commitsPausedUntil time.Time
	// inFlight counts the commands and writes that run outside the loop.
	inFlight   int
	quarantine quarantineState

	notifications chan primrosespar.JobID
	// results carries functions that apply the result of a call; the loop calls
	// them.
	results chan func(context.Context)

	mu      sync.Mutex
	state   primrosespar.PlaceState
	workers []primrosespar.Worker
	// reached holds the highest token that each worker has accepted from this
	// host.
	reached map[primrosespar.Worker]primrosespar.Token
}

// New returns a Controller that does nothing until Run is called.
func New(parts Parts, opts ...Option) *Controller {
	return &Controller{
		parts:         parts,
		options:       newOptions(opts),
		gangs:         map[primrosespar.JobID]*gangEntry{},
		active:        map[primrosespar.JobID]bool{},
		gangsByWorker: map[primrosespar.Worker]map[primrosespar.JobID]bool{},
		reached:       map[primrosespar.Worker]primrosespar.Token{},
		notifications: make(chan primrosespar.JobID, notificationBacklog),
		results:       make(chan func(context.Context), resultBacklog),
	}
}

// Capacities of the controller's channels. A notification that does not fit is
// dropped; the next scan of the inbox finds the job.
const (
	notificationBacklog = 256
	resultBacklog       = 64
)

// Notify tells the controller that a job was submitted or cancelled. It never
// blocks.
func (c *Controller) Notify(id primrosespar.JobID) {
	select {
	case c.notifications <- id:
	default:
	}
}

// State returns the place's state after the last round and whether this host
// holds the place lease.
func (c *Controller) State() (primrosespar.PlaceState, bool) {
	_, held := c.parts.Lease.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, held
}

// Run schedules the place's jobs until ctx is done and returns ctx.Err().
func (c *Controller) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { c.runPeriodically(ctx, c.options.Renewal, c.stepLease) })
	wg.Go(func() { c.runPeriodically(ctx, c.options.WorkerRenewal, c.renewWorkerLeases) })
	c.loop(ctx)
	wg.Wait()
	return ctx.Err()
}

// runPeriodically calls f at once and then again, a period after each call
// ends.
func (c *Controller) runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(period):
		}
	}
}

// loop runs a round at least every MaxTickInterval, and earlier after a
// notification or a result.
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

// drainNotifications discards the queued notifications, since one scan of the
// inbox covers all of them.
func (c *Controller) drainNotifications(primrosespar.JobID) {
	for {
		select {
		case <-c.notifications:
		default:
			return
		}
	}
}

// stepLease renews the place lease or tries to acquire it.
func (c *Controller) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Renewal)
	defer cancel()
	c.reportError(c.parts.Lease.Step(ctx))
}

// tick does one round: it reads worker reports, contracts and the inbox, plans,
// and steps the active gangs.
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

// ensureLoaded reports whether the state of the place is loaded under the
// current lease, and loads it if the lease is new.
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
		Detail:  "this host has acquired the place lease",
		Figures: []primrosespar.Figure{{Name: "token", Value: float64(token)}, {Name: "gangs", Value: float64(len(c.gangs))}},
	})
	return true
}

// reset discards the state of the place and records the token under which it is
// loaded next; zero means that it is not.
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

// readWorkerChanges reads the reports of workers that changed since the last
// call and passes them to the planner and the gangs.
func (c *Controller) readWorkerChanges(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, c.options.WorkerTimeout)
	defer cancel()
	entries, cursor, err := c.parts.Workers.Changes(callCtx, c.parts.Place, c.workerCursor)
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

// observeWorker passes a worker's report to the gangs on that worker.
func (c *Controller) observeWorker(e primrosespar.WorkerEntry, now time.Time) {
	for id := range c.gangsByWorker[e.Worker] {
		c.gangs[id].assembler.Observe(e, now)
		c.active[id] = true
	}
}

// orphanCommands returns the commands for the worker's orphaned tasks, which
// are those of jobs without an assembler and of superseded attempts: held and
// running tasks are stopped, ended ones are forgotten.
func (c *Controller) orphanCommands(e primrosespar.WorkerEntry) []primrosespar.Command {
	var commands []primrosespar.Command
	for _, t := range e.Tasks {
		if entry, known := c.gangs[t.Gang]; known && entry.assembler != nil && entry.assembler.Gang().Attempt <= t.Attempt {
			continue
		}
		kind := primrosespar.CommandForget
		if t.State == primrosespar.TaskHeld || t.State == primrosespar.TaskRunning {
			kind = primrosespar.CommandStop
		}
		commands = append(commands, primrosespar.Command{Worker: e.Worker, Kind: kind, Gang: t.Gang, Member: t.Member, Attempt: t.Attempt})
	}
	return commands
}

// updateLiveWorkers updates the list of workers whose leases are renewed.
func (c *Controller) updateLiveWorkers(entries []primrosespar.WorkerEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := map[primrosespar.Worker]bool{}
	for _, w := range c.workers {
		live[w] = true
	}
	for _, e := range entries {
		live[e.Worker] = e.Alive
	}
	c.workers = c.workers[:0]
	for w, alive := range live {
		if alive {
			c.workers = append(c.workers, w)
		}
	}
}

// renewWorkerLeases renews the lease of every live worker of the place. It does
// not use the table, so running gangs survive a table outage.
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
	for i, result := range results {
		switch result.Code {
		case primrosespar.CodeStaleToken:
			c.parts.Lease.StepDown()
			return
		case primrosespar.CodeOK:
			c.markReached(commands[i].Worker, token)
		default:
		}
	}
}

// markReached records that the worker has accepted the token.
func (c *Controller) markReached(worker primrosespar.Worker, token primrosespar.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[worker] = max(c.reached[worker], token)
}

// hasReached reports whether the worker has accepted the token under which the
// state is loaded.
func (c *Controller) hasReached(worker primrosespar.Worker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached[worker] == c.loadedToken
}

// updateContracts passes the contracts to the planner if they changed.
func (c *Controller) updateContracts() {
	view, _ := c.parts.Contracts.View()
	if view.Revision != c.contractRevision {
		c.contractRevision = view.Revision
		c.planner.SetContracts(view)
	}
}

// publishState updates the state that State returns to other goroutines.
func (c *Controller) publishState() {
	state := c.planner.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

// reportError passes an error, if there is one, to OnError.
func (c *Controller) reportError(err error) {
	if err != nil && c.parts.OnError != nil {
		c.parts.OnError(err)
	}
}

// record adds the time, place and host to the decision and records it.
func (c *Controller) record(d primrosespar.Decision) {
	d.At = c.parts.Clock.Now()
	d.Place = c.parts.Place
	d.Host = c.parts.Host
	c.parts.Recorder.Record(d)
}
