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

// gang is one job that this holder knows of.
type gang struct {
	row primrosespar.Gang
	// version is the version of the job's row in the table.
	version primrosespar.Version
	// assembler is nil while the job is queued.
	assembler *assembler.Assembler
	// placed are the slices under which the gang is indexed by worker.
	placed []primrosespar.Slice
	// writing is true while a write of the row is under way; written is the
	// state that it writes.
	writing bool
	written primrosespar.GangState
}

// Controller drives one place.
type Controller struct {
	parts   Parts
	options Options

	// tenure is the token that the state below belongs to; zero without one.
	tenure primrosespar.Token
	// epoch tells results of an earlier tenure from those of this one.
	epoch   uint64
	planner primrosespar.Planner
	gangs   map[primrosespar.JobID]*gang
	// active are the gangs that have something to do; a gang that just runs
	// costs nothing until one of its workers reports.
	active   map[primrosespar.JobID]bool
	onWorker map[primrosespar.Worker]map[primrosespar.JobID]bool
	cursor   uint64
	revision primrosespar.Revision
	inbox    time.Time
	// holdCommits delays writes after the table was found unavailable.
	holdCommits time.Time
	flights     int
	quarantine  quarantine

	notified chan primrosespar.JobID
	results  chan func(context.Context)

	mu      sync.Mutex
	state   primrosespar.PlaceState
	workers []primrosespar.Worker
}

// New returns a Controller; it does nothing before Run.
func New(parts Parts, opts ...Option) *Controller {
	return &Controller{
		parts:    parts,
		options:  newOptions(opts),
		gangs:    map[primrosespar.JobID]*gang{},
		active:   map[primrosespar.JobID]bool{},
		onWorker: map[primrosespar.Worker]map[primrosespar.JobID]bool{},
		notified: make(chan primrosespar.JobID, notifyBacklog),
		results:  make(chan func(context.Context), resultBacklog),
	}
}

// Bounds of the controller's channels. A notification that does not fit is dropped:
// the next scan of the inbox finds the job.
const (
	notifyBacklog = 256
	resultBacklog = 64
)

// Notify says that a job was submitted or cancelled; it never blocks.
func (r *Controller) Notify(id primrosespar.JobID) {
	select {
	case r.notified <- id:
	default:
	}
}

// State returns the place's state as of the last plan, and whether this host
// runs the place.
func (r *Controller) State() (primrosespar.PlaceState, bool) {
	_, held := r.parts.Lease.Held()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, held
}

// Run drives the place until ctx is done.
func (r *Controller) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { r.every(ctx, r.options.Renewal, r.stepLease) })
	wg.Go(func() { r.every(ctx, r.options.WorkerRenewal, r.renewWorkers) })
	r.loop(ctx)
	wg.Wait()
	return ctx.Err()
}

// every calls f at once and then each period.
func (r *Controller) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-r.parts.Clock.After(period):
		}
	}
}

func (r *Controller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		r.tick(ctx)
		select {
		case <-ctx.Done():
		case <-r.parts.Clock.After(r.options.Tick):
		case id := <-r.notified:
			r.inbox = time.Time{}
			r.drainNotified(id)
		case apply := <-r.results:
			apply(ctx)
		}
	}
}

// drainNotified empties the backlog: one scan of the inbox serves all.
func (r *Controller) drainNotified(primrosespar.JobID) {
	for {
		select {
		case <-r.notified:
		default:
			return
		}
	}
}

func (r *Controller) stepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Renewal)
	defer cancel()
	r.fail(r.parts.Lease.Step(ctx))
}

// tick does one round: reports, inbox, plan, gangs.
func (r *Controller) tick(ctx context.Context) {
	if !r.tenured(ctx) {
		return
	}
	r.takeReports(ctx)
	r.takeContracts()
	if _, held := r.parts.Lease.Held(); held {
		r.takeInbox(ctx)
		r.advanceQuarantine()
		r.plan()
		r.saveQuarantine(ctx)
	}
	r.stepGangs(ctx)
	r.publish()
}

// tenured reports whether this host runs the place, and loads the place's
// state when the tenure is new.
func (r *Controller) tenured(ctx context.Context) bool {
	token, ours := r.parts.Lease.Token()
	if !ours {
		r.reset(0)
		return false
	}
	if token == r.tenure {
		return true
	}
	if _, held := r.parts.Lease.Held(); !held {
		return false
	}
	r.reset(token)
	if err := r.load(ctx); err != nil {
		r.fail(err)
		r.reset(0)
		return false
	}
	r.record(primrosespar.Decision{
		Kind: primrosespar.DecisionLease, Code: primrosespar.CodeOK, Subject: string(r.parts.Place),
		Detail:  "this host runs the placement of the place",
		Figures: []primrosespar.Figure{{Name: "token", Value: float64(token)}, {Name: "gangs", Value: float64(len(r.gangs))}},
	})
	return true
}

func (r *Controller) reset(token primrosespar.Token) {
	if token == 0 && r.tenure == 0 {
		return
	}
	r.tenure = token
	r.epoch++
	r.planner = r.parts.Planner()
	r.quarantine = quarantine{judge: quarantiner.New()}
	r.gangs = map[primrosespar.JobID]*gang{}
	r.active = map[primrosespar.JobID]bool{}
	r.onWorker = map[primrosespar.Worker]map[primrosespar.JobID]bool{}
	r.cursor = 0
	r.revision = 0
	r.inbox = time.Time{}
}

// takeReports reads what changed at the workers.
func (r *Controller) takeReports(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, r.options.WorkerTimeout)
	defer cancel()
	entries, cursor, err := r.parts.Workers.Changes(call, r.parts.Place, r.cursor)
	if err != nil {
		r.fail(err)
		return
	}
	r.cursor = cursor
	if len(entries) == 0 {
		return
	}
	r.planner.SetWorkers(entries)
	r.noteWorkers(entries)
	now := r.parts.Clock.Now()
	var orphans []primrosespar.Command
	for _, e := range entries {
		r.observe(e, now)
		orphans = append(orphans, r.orphans(e)...)
	}
	r.send(ctx, orphans)
}

// observe tells the gangs on a worker of its report.
func (r *Controller) observe(e primrosespar.WorkerEntry, now time.Time) {
	for id := range r.onWorker[e.Worker] {
		r.gangs[id].assembler.Observe(e, now)
		r.active[id] = true
	}
}

// orphans returns the commands for tasks that belong to no attempt of this
// tenure: what still works is stopped, what ended is forgotten.
func (r *Controller) orphans(e primrosespar.WorkerEntry) []primrosespar.Command {
	var out []primrosespar.Command
	for _, t := range e.Tasks {
		if g, known := r.gangs[t.Gang]; known && g.assembler != nil && g.assembler.Gang().Attempt <= t.Attempt {
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

func (r *Controller) noteWorkers(entries []primrosespar.WorkerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[primrosespar.Worker]bool{}
	for _, w := range r.workers {
		known[w] = true
	}
	for _, e := range entries {
		known[e.Worker] = e.Alive
	}
	r.workers = r.workers[:0]
	for w, alive := range known {
		if alive {
			r.workers = append(r.workers, w)
		}
	}
}

// renewWorkers renews the lease of every worker of the place. It needs no
// table, so gangs outlive an outage of the store.
func (r *Controller) renewWorkers(ctx context.Context) {
	token, ours := r.parts.Lease.Token()
	if !ours {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.WorkerTimeout)
	defer cancel()
	r.mu.Lock()
	commands := make([]primrosespar.Command, 0, len(r.workers))
	for _, w := range r.workers {
		commands = append(commands, primrosespar.Command{Worker: w, Kind: primrosespar.CommandRenew, Lease: r.options.WorkerLease})
	}
	r.mu.Unlock()
	if len(commands) == 0 {
		return
	}
	results, err := r.parts.Workers.Do(ctx, r.parts.Place, token, commands)
	if err != nil {
		r.fail(err)
		return
	}
	for _, result := range results {
		if result.Code == primrosespar.CodeStaleToken {
			r.parts.Lease.StepDown()
			return
		}
	}
}

func (r *Controller) takeContracts() {
	view, _ := r.parts.Contracts.View()
	if view.Revision != r.revision {
		r.revision = view.Revision
		r.planner.SetContracts(view)
	}
}

// publish makes the state readable for other goroutines.
func (r *Controller) publish() {
	state := r.planner.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *Controller) fail(err error) {
	if err != nil && r.parts.OnError != nil {
		r.parts.OnError(err)
	}
}

func (r *Controller) record(d primrosespar.Decision) {
	d.At = r.parts.Clock.Now()
	d.Place = r.parts.Place
	d.Host = r.parts.Host
	r.parts.Recorder.Record(d)
}
