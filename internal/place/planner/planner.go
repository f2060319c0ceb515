// Package planner decides where the gangs of one place run.
//
// A cell is one accelerator, and a block is an aligned run of cells in a rack
// (see package packer). A guaranteed block is unclaimed or bound. The unclaimed
// ones form the demand, which must always fit into the reclaimable cells all at
// once. The first claim that uses a guaranteed block binds it to a physical
// block of its size, and no other account's non-preemptible work enters that
// block until the last claim in it ends. Releases can therefore never break the
// check that the demand fits.
//
// Preemptible gangs that are not claims run on borrowed capacity: a claim may
// preempt them.
//
// # Usage
//
//	p := planner.New(planner.WithPlace("tn-charguia"))
//	p.SetWorkers(entries)
//	p.SetContracts(view)
//	if err := p.Add(job, now); err != nil {
//		// err is a primrosespar.Failure: the job can never run
//	}
//	plan := p.Plan(now)
//
// Call SetWorkers before restoring the gangs on those workers. A preempted gang
// keeps its cells until Requeue or Remove; the next plan after that places the
// claim that needs them.
package planner

import (
	"time"

	"github.com/google/btree"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// btreeDegree is the degree of the B-trees.
const btreeDegree = 16

var _ primrosespar.Planner = (*Planner)(nil)

// Options configures a Planner.
type Options struct {
	Place primrosespar.Place
	// skipGuaranteeCheck places non-preemptible work without checking that the
	// unclaimed guaranteed blocks still fit. Only tests set it.
	skipGuaranteeCheck bool
}

// Option sets one option.
type Option func(*Options)

// WithPlace sets the place whose guarantees count. Without it jobs for any
// place are accepted and only guarantees without a place count.
func WithPlace(place primrosespar.Place) Option {
	return func(o *Options) { o.Place = place }
}

// Planner implements primrosespar.Planner.
type Planner struct {
	options     Options
	packer      *packer.Packer
	workers     map[primrosespar.Worker]*worker
	workerTypes map[workerType]int
	quarantined map[primrosespar.Worker]bool
	accounts    map[primrosespar.Account]*account
	gangs       map[primrosespar.JobID]*gang
	queue       *btree.BTreeG[*gang]
	// untried holds the gangs that no plan has tried since they were queued.
	untried *btree.BTreeG[*gang]
	// pending holds the gangs that wait for preempted gangs to stop.
	pending *btree.BTreeG[*gang]
	// checkpointed holds the gangs that have saved their state since the last
	// plan.
	checkpointed map[primrosespar.JobID]*gang
	// workersByFree holds all workers in the order of lessFree, to place
	// members without accelerators.
	workersByFree *btree.BTreeG[*worker]
	// demand counts the unclaimed guaranteed blocks of each level, guaranteed
	// all of them.
	demand, guaranteed packer.Counts
	// fullSupply is the supply if all accelerators were available and free.
	fullSupply packer.Counts
	// reservation belongs to one blocked gang; oldestBlocked gets the next one.
	reservation   *reservation
	oldestBlocked *gang
	// starving gangs have waited so long that younger ones may not overtake
	// them.
	starving  map[capacityKind]*gang
	estimator *estimator.Estimator
	// gangBuffer and waitReasons are used within one plan and reused by the
	// next: with a backlog, new ones were most of the bytes a plan allocated.
	gangBuffer  []*gang
	waitReasons map[placementKey]primrosespar.Code
	// restored holds claims of an earlier holder whose blocks are not bound
	// yet.
	restored        []*gang
	capacityChanged bool
	sequence        uint64
	// running counts the placed gangs, borrowed their borrowed accelerators.
	running  int
	borrowed int
}

// New returns a planner without workers and contracts.
func New(opts ...Option) *Planner {
	p := &Planner{
		packer:        packer.New(),
		workers:       map[primrosespar.Worker]*worker{},
		workerTypes:   map[workerType]int{},
		quarantined:   map[primrosespar.Worker]bool{},
		accounts:      map[primrosespar.Account]*account{},
		checkpointed:  map[primrosespar.JobID]*gang{},
		gangs:         map[primrosespar.JobID]*gang{},
		starving:      map[capacityKind]*gang{},
		estimator:     estimator.New(),
		waitReasons:   map[placementKey]primrosespar.Code{},
		queue:         btree.NewG(btreeDegree, queueLess),
		untried:       btree.NewG(btreeDegree, queueLess),
		pending:       btree.NewG(btreeDegree, queueLess),
		workersByFree: btree.NewG(btreeDegree, lessFree),
	}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// SetWorkers adds or updates workers.
func (p *Planner) SetWorkers(entries []primrosespar.WorkerEntry) {
	p.bindRestored()
	changed := false
	for _, e := range entries {
		changed = p.setWorker(e) || changed
		p.observeTasks(e)
	}
	if p.packer.SetWorkers(entries, func(w primrosespar.Worker) bool { return p.quarantined[w] }) {
		p.fullSupply = p.packer.FullSupply()
		changed = true
	}
	if changed {
		p.capacityChanged = true
		p.requeueBrokenPending()
	}
}

// SetQuarantined stops or resumes new work on the worker.
func (p *Planner) SetQuarantined(worker primrosespar.Worker, quarantined bool) {
	if p.quarantined[worker] == quarantined {
		return
	}
	if quarantined {
		p.quarantined[worker] = true
	} else {
		delete(p.quarantined, worker)
	}
	if w := p.workers[worker]; w != nil {
		p.SetWorkers([]primrosespar.WorkerEntry{w.entry})
		p.capacityChanged = true
		p.requeueBrokenPending()
	}
}

// requeueBrokenPending queues pending gangs again if a worker of their reserved
// cells takes no new work any more.
func (p *Planner) requeueBrokenPending() {
	var broken []*gang
	p.pending.Ascend(func(g *gang) bool {
		if !p.usable(g.slices) {
			broken = append(broken, g)
		}
		return true
	})
	for _, g := range broken {
		p.release(g)
		p.enqueue(g)
	}
}

// usable reports whether all workers of the slices take new work.
func (p *Planner) usable(slices []primrosespar.Slice) bool {
	for _, s := range slices {
		if w := p.workers[s.Worker]; w == nil || !w.usable || p.quarantined[s.Worker] {
			return false
		}
	}
	return true
}

// State summarises the place.
func (p *Planner) State() primrosespar.PlaceState {
	p.bindRestored()
	state := primrosespar.PlaceState{
		Accelerators: p.packer.Total(),
		Free:         p.packer.Count(packer.Free),
		Borrowed:     p.borrowed,
		LargestBlock: p.packer.Largest(),
		Queued:       p.queue.Len() + p.pending.Len(),
		Running:      p.running,
		Quarantined:  len(p.quarantined),
	}
	state.Guarantees = p.guaranteeStates()
	return state
}

// Plan returns the decisions on everything that changed since the last call.
func (p *Planner) Plan(now time.Time) primrosespar.Plan {
	p.bindRestored()
	for id, g := range p.checkpointed {
		g.savedAt = now
		delete(p.checkpointed, id)
	}
	plan := &primrosespar.Plan{}
	p.startPending(plan, now)
	p.startQueued(plan, now)
	return *plan
}

// startPending starts the pending gangs whose victims have all stopped.
func (p *Planner) startPending(plan *primrosespar.Plan, now time.Time) {
	var ready []*gang
	p.pending.Ascend(func(g *gang) bool {
		if len(g.victims) == 0 {
			ready = append(ready, g)
		}
		return true
	})
	for _, g := range ready {
		p.pending.Delete(g)
		g.account.countPending(g, -1)
		p.start(plan, g, primrosespar.CodePlaced, now)
	}
}

// startQueued tries the queued gangs in order: all of them if capacity changed,
// otherwise only those that were not tried yet.
func (p *Planner) startQueued(plan *primrosespar.Plan, now time.Time) {
	from := p.untried
	if p.capacityChanged {
		from = p.queue
	}
	gangs := p.gangBuffer[:0]
	from.Ascend(func(g *gang) bool {
		gangs = append(gangs, g)
		return true
	})
	p.orderByShare(gangs)
	p.capacityChanged = false
	p.untried.Clear(false)
	waitReasons := p.waitReasons
	clear(waitReasons)
	for _, g := range gangs {
		key := g.placementKey(p.reservation)
		code, known := waitReasons[key]
		if !known || p.yieldsToStarving(g) {
			code = p.tryPlace(plan, g, now)
		}
		if code == primrosespar.CodePlaced {
			p.clearBlocked(g)
			continue
		}
		p.recordBlocked(g, code, now)
		if !p.yieldsToStarving(g) {
			waitReasons[key] = code
		}
		if g.waitReason != code {
			g.waitReason = code
			plan.Waits = append(plan.Waits, primrosespar.Wait{Job: g.job.ID, Reason: code, Figures: p.figures(g)})
		}
	}
	clear(gangs)
	p.gangBuffer = gangs[:0]
	p.reserveOldest(now)
}

// figures returns the numbers that explain a decision on the gang.
func (p *Planner) figures(g *gang) []primrosespar.Figure {
	return []primrosespar.Figure{
		{Name: "accelerators", Value: float64(g.size())},
		{Name: "free", Value: float64(p.packer.Count(packer.Free))},
		{Name: "largest_block", Value: float64(p.packer.Largest())},
		{Name: "account_held", Value: float64(g.account.held)},
	}
}

// tryPlace places the gang, or reserves cells for it and preempts the gangs on
// them. If it can do neither, it returns the reason to wait.
func (p *Planner) tryPlace(plan *primrosespar.Plan, g *gang, now time.Time) primrosespar.Code {
	a := g.account
	if g.job.Claim {
		return p.claim(plan, g, now)
	}
	if a.classExcess(g.job.Class) > 0 {
		return primrosespar.CodeConcurrencyLimit
	}
	if a.held+a.pending+g.size() > a.contract.MaxAccelerators {
		return primrosespar.CodeQuotaExceeded
	}
	if !g.preemptible() && a.nonPreemptible+a.guaranteedAccelerators+g.size() > a.contract.MaxAccelerators {
		return primrosespar.CodeQuotaExceeded
	}
	if p.yieldsToStarving(g) {
		return primrosespar.CodeWaiting
	}
	if code := p.allocate(g, now); code != primrosespar.CodePlaced {
		if g.rank == rankUrgent && !g.preemptible() && g.size() > 0 && p.allocateUrgent(plan, g, now) {
			return primrosespar.CodePlaced
		}
		return code
	}
	p.dequeue(g)
	reason := primrosespar.CodePlaced
	if r := p.reservation; r != nil && r.holder.sequence < g.sequence && r.holder.rank <= g.rank {
		reason = primrosespar.CodeBackfilled
	}
	p.start(plan, g, reason, now)
	return primrosespar.CodePlaced
}

// start marks the gang as running and adds its placement to the plan.
func (p *Planner) start(plan *primrosespar.Plan, g *gang, reason primrosespar.Code, now time.Time) {
	g.phase = phaseRunning
	g.startedAt, g.savedAt = now, now
	p.countGang(g, 1)
	plan.Placements = append(plan.Placements, primrosespar.Placement{
		Job: g.job.ID, Slices: g.slices, Bindings: g.bindings(), Borrowed: g.borrowed, Reason: reason, Figures: p.figures(g),
	})
}

// countGang adds the gang to the counts of its account and the place, or
// removes it with sign -1.
func (p *Planner) countGang(g *gang, sign int) {
	p.running += sign
	g.account.held += sign * g.size()
	g.account.placedGangs[g.job.Class] += sign
	if !g.borrowed {
		if !g.job.Claim {
			g.account.nonPreemptible += sign * g.size()
		}
		return
	}
	p.borrowed += sign * g.size()
	if sign > 0 {
		g.account.borrowing[g.job.ID] = g
	} else {
		delete(g.account.borrowing, g.job.ID)
	}
}
