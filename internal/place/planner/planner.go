// Package planner decides where the gangs of one place run.
//
// Each guaranteed block is either unclaimed, and then counted in the demand
// that the reclaimable cells must always pack, or bound: the first claim that
// draws on it binds a physical block of its size, and no non-preemptible work
// of others enters that block until the last claim in it ends. Releases can
// therefore never break the pack check.
//
// # Usage
//
//	p := planner.New(planner.WithPlace("tn-charguia"))
//	p.SetWorkers(entries)
//	p.SetContracts(view)
//	if err := p.Add(job, now); err != nil {
//		// a primrosespar.Failure; the job can never run
//	}
//	plan := p.Plan(now)
//
// Workers must be known before the gangs on them are restored. An evicted gang
// keeps its cells until Requeue or Remove; the claim that needs them is in the
// first plan after that.
package planner

import (
	"time"

	"github.com/google/btree"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// btreeDegree is the fan-out of the ordered sets.
const btreeDegree = 16

var _ primrosespar.Planner = (*Planner)(nil)

// Options configures a Planner.
type Options struct {
	Place primrosespar.Place
	// skipGuaranteeCheck places non-preemptible work without the pack check.
	skipGuaranteeCheck bool
}

// Option changes one option.
type Option func(*Options)

// WithPlace names the place whose guarantees count; without it every job's
// place is accepted and only guarantees without a place count.
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
	// untried are the queued gangs not tried since capacity last changed.
	untried *btree.BTreeG[*gang]
	// pending are claims that wait for evicted gangs to stop.
	pending *btree.BTreeG[*gang]
	// checkpointed gangs have saved their state since the last plan.
	checkpointed map[primrosespar.JobID]*gang
	// workersByFree orders the workers for members without accelerators.
	workersByFree *btree.BTreeG[*worker]
	// demand counts the unclaimed guaranteed blocks, guaranteed all of them.
	demand, guaranteed packer.Counts
	// fullSupply is the supply with all accelerators alive and free.
	fullSupply packer.Counts
	// reservation is the reservation of the oldest blocked job, oldest the job that
	// gets the next one.
	reservation   *reservation
	oldestBlocked *gang
	// starving jobs have waited too long to be passed by younger ones.
	starving  map[capacityKind]*gang
	estimator *estimator.Estimator
	// gangBuffer and failed belong to one plan and are kept for the next, since new
	// ones were most of the bytes that a plan with a backlog allocated.
	gangBuffer  []*gang
	waitReasons map[placementKey]primrosespar.Code
	// restored are claims of an earlier holder whose blocks are not bound yet.
	restored        []*gang
	capacityChanged bool
	sequence        uint64
	running         int
	borrowed        int
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

// SetWorkers takes new or changed workers.
func (p *Planner) SetWorkers(entries []primrosespar.WorkerEntry) {
	p.bindRestored()
	changed := false
	for _, e := range entries {
		changed = p.setWorker(e) || changed
		p.observeTasks(e)
	}
	if p.packer.SetWorkers(entries, func(w primrosespar.Worker) bool { return p.quarantined[w] }) {
		p.fullSupply = p.packer.Whole()
		changed = true
	}
	if changed {
		p.capacityChanged = true
		p.requeueBrokenClaims()
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
		p.requeueBrokenClaims()
	}
}

// requeueBrokenClaims queues those waiting claims again that reserved cells of a
// worker which takes no new work any more.
func (p *Planner) requeueBrokenClaims() {
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

// Plan decides on everything that changed since the last call.
func (p *Planner) Plan(now time.Time) primrosespar.Plan {
	p.bindRestored()
	for id, g := range p.checkpointed {
		g.savedAt = now
		delete(p.checkpointed, id)
	}
	plan := &primrosespar.Plan{}
	p.startClaims(plan, now)
	p.startQueued(plan, now)
	return *plan
}

// startClaims places the claims whose evicted gangs have all stopped.
func (p *Planner) startClaims(plan *primrosespar.Plan, now time.Time) {
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

// startQueued tries the waiting gangs in order: all of them if capacity
// changed, otherwise only those that were not tried yet.
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

func (p *Planner) figures(g *gang) []primrosespar.Figure {
	return []primrosespar.Figure{
		{Name: "accelerators", Value: float64(g.size())},
		{Name: "free", Value: float64(p.packer.Count(packer.Free))},
		{Name: "largest_block", Value: float64(p.packer.Largest())},
		{Name: "account_held", Value: float64(g.account.held)},
	}
}

// tryPlace places the gang, or reserves cells for a claim that has to wait for
// evictions. It returns the reason if it can do neither.
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

// start counts the gang as running and puts it into the plan.
func (p *Planner) start(plan *primrosespar.Plan, g *gang, reason primrosespar.Code, now time.Time) {
	g.phase = phaseRunning
	g.started, g.savedAt = now, now
	p.countGang(g, 1)
	plan.Placements = append(plan.Placements, primrosespar.Placement{
		Job: g.job.ID, Slices: g.slices, Bindings: g.bindings(), Borrowed: g.borrowed, Reason: reason, Figures: p.figures(g),
	})
}

// countGang adds the gang to the counts of its account and the place, or takes
// it off with sign -1.
func (p *Planner) countGang(g *gang, sign int) {
	p.running += sign
	g.account.held += sign * g.size()
	g.account.placed[g.job.Class] += sign
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
