// Package bencher compares placement policies on committed workloads.
//
// It runs a planner on a virtual clock: arrivals, ends, cancellations and
// failures are events, all events of one instant are given to the planner
// before one call of Plan. Network and hosts are not modelled; stopping an
// evicted gang and starting a placed one take the longest times that the
// design allows.
//
// # Usage
//
//	load := bencher.NewWorkload("normal", 1)
//	result := bencher.New(load, bencher.Ours()).Run()
package bencher

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
	"primrosespar.example/primrosespar/internal/place/planner"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

// Times of section 8.4 of the design page, all at their longest.
const (
	decideTime = 300 * time.Millisecond
	stopTime   = 6 * time.Second
	startTime  = 2 * time.Second
	lateClaim  = 9300 * time.Millisecond
)

const (
	// failTime is how long a task runs on a worker that fails everything.
	failTime = 10 * time.Second
	// checkpointEvery is the interval of periodic checkpoints; one in
	// lostCheckpoints of those taken on eviction does not succeed.
	checkpointEvery = 30 * time.Minute
	lostCheckpoints = 10
	// largeSize is the number of accelerators of a large request.
	largeSize = 16
	// maxEvents ends a run that makes no progress.
	maxEvents = 500_000
)

// Policy is one way to place jobs.
type Policy struct {
	Name string
	New  func() primrosespar.Planner
	// Quarantine takes workers out that fail everything.
	Quarantine bool
}

// Ours is the planner of this project.
func Ours() Policy {
	return Policy{Name: "ours", Quarantine: true, New: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) }}
}

// FirstInFirstOut places jobs strictly in order of arrival.
func FirstInFirstOut() Policy {
	return Policy{Name: "first_in_first_out", New: func() primrosespar.Planner { return newBaseline(true) }}
}

// BestFit places any job that fits, in the tightest block, and reserves
// nothing.
func BestFit() Policy {
	return Policy{Name: "best_fit", New: func() primrosespar.Planner { return newBaseline(false) }}
}

// Bencher is one run of a policy on a workload.
type Bencher struct {
	load    Workload
	policy  Policy
	planner primrosespar.Planner
	judge   *quarantiner.Quarantiner
	random  *rand.Rand
	events  events
	now     time.Time
	jobs    map[primrosespar.JobID]*run
	// mirror shows the accelerators of placed gangs for any policy.
	mirror *packer.Packer
	order  uint64
	tally  tally
}

// run is the progress of one job.
type run struct {
	task Task
	// attempt tells the events of an earlier placement from the current one.
	attempt int
	placed  bool
	started time.Time
	done    time.Duration
	slices  []primrosespar.Slice
	claimed bool
	// beyond claims arrived while the whole guarantee was claimed.
	beyond bool
}

// New returns a run that has not started.
func New(load Workload, policy Policy) *Bencher {
	b := &Bencher{
		load: load, policy: policy, planner: policy.New(), judge: quarantiner.New(),
		random: rand.New(rand.NewPCG(load.Seed, 7)), jobs: map[primrosespar.JobID]*run{}, now: load.Start, mirror: packer.New(),
	}
	b.planner.SetWorkers(load.Workers)
	b.mirror.SetWorkers(load.Workers, nil)
	b.planner.SetContracts(load.View)
	b.judge.SetWorkers(len(load.Workers))
	for _, t := range load.Tasks {
		b.at(t.At, func() { b.arrive(t) })
	}
	for _, c := range load.Cancels {
		b.at(c, b.cancelMost)
	}
	return b
}

// Run runs until nothing is left to happen and returns the figures.
func (b *Bencher) Run() Result {
	for n := 0; b.events.Len() > 0 && n < maxEvents; n++ {
		next := b.events.items[0].at
		b.tally.elapse(b.mirror, next.Sub(b.now), b.now.Before(b.load.End))
		b.now = next
		for b.events.Len() > 0 && !b.events.items[0].at.After(b.now) {
			heap.Pop(&b.events).(*event).do()
		}
		b.quarantine()
		b.apply(b.planner.Plan(b.now))
	}
	return b.tally.result(b.load, b.policy, len(b.jobs))
}

func (b *Bencher) at(at time.Time, do func()) {
	b.order++
	heap.Push(&b.events, &event{at: at, order: b.order, do: do})
}

func (b *Bencher) arrive(t Task) {
	before := b.mirror.Count(packer.Free)
	if err := b.planner.Add(t.Job, b.now); err != nil {
		b.tally.refused++
		return
	}
	r := &run{task: t}
	b.jobs[t.Job.ID] = r
	if t.Job.Claim && b.fullyClaimed(t.Job.Account) {
		r.beyond = true
		b.tally.beyond++
	}
	size := t.Job.Shape.Accelerators()
	if size >= largeSize && before+b.mirror.Count(packer.Preemptible) >= size {
		b.tally.reclaimLarge++
		if !b.mirror.Packs(demand(t.Job.Shape)) {
			b.tally.reclaimRefused++
		}
	}
	if size < largeSize || before < size {
		return
	}
	b.tally.large++
	if packer.Fits(b.mirror.Supply(packer.ViewFree), demand(t.Job.Shape)) >= 0 {
		b.tally.shapeRefused++
	}
}

func (b *Bencher) apply(plan primrosespar.Plan) {
	for _, e := range plan.Preemptions {
		r := b.jobs[e.Victim]
		attempt := r.attempt
		b.at(b.now.Add(stopTime), func() { b.stopped(r, attempt) })
	}
	for _, p := range plan.Placements {
		b.start(b.jobs[p.Job], p)
	}
}

func (b *Bencher) start(r *run, p primrosespar.Placement) {
	r.attempt++
	r.placed, r.slices = true, p.Slices
	state := packer.NonPreemptible
	if p.Borrowed {
		state = packer.Preemptible
	}
	b.mirror.Hold(p.Slices, r.task.Job.ID, state)
	r.started = b.now.Add(startTime)
	attempt := r.attempt
	if r.task.Job.Claim && !r.claimed && !r.beyond {
		r.claimed = true
		b.tally.claim(r.started.Add(decideTime).Sub(r.task.At))
	}
	if worker, bad := b.badWorker(p.Slices); bad {
		b.at(r.started.Add(failTime), func() { b.failed(r, attempt, worker) })
		return
	}
	b.at(r.started.Add(r.task.Actual-r.done), func() { b.ended(r, attempt) })
}

// fullyClaimed reports whether placed claims hold every guaranteed block of the
// account. A claim that failed on a bad worker runs longer than drawn, so that
// the next one can find the guarantee in use.
func (b *Bencher) fullyClaimed(account primrosespar.Account) bool {
	c, _ := b.load.View.Find(account)
	held := 0
	for _, r := range b.jobs {
		if r.placed && r.task.Job.Claim && r.task.Job.Account == account {
			held++
		}
	}
	return held >= c.Contract.Guarantees[0].Count
}

// leave ends the current placement, if there is one.
func (b *Bencher) leave(r *run) {
	r.placed = false
	b.mirror.Release(r.slices, r.task.Job.ID)
	r.slices = nil
}

// demand returns the blocks that the shape takes.
func demand(s primrosespar.Shape) packer.Counts {
	var c packer.Counts
	c[packer.LevelOf(s.Block)] = s.Members
	return c
}

func (b *Bencher) badWorker(slices []primrosespar.Slice) (primrosespar.Worker, bool) {
	if b.now.Before(b.load.BadFrom) || !b.now.Before(b.load.BadUntil) {
		return "", false
	}
	for _, s := range slices {
		if b.load.Bad[s.Worker] {
			return s.Worker, true
		}
	}
	return "", false
}

func (b *Bencher) ended(r *run, attempt int) {
	if r.attempt != attempt || !r.placed {
		return
	}
	for _, s := range r.slices {
		b.judge.Report(quarantiner.Outcome{Worker: s.Worker, Job: r.task.Job.ID})
	}
	b.leave(r)
	b.planner.Remove(r.task.Job.ID, primrosespar.GangDone, b.now)
	b.tally.complete(r.task, b.now)
}

func (b *Bencher) failed(r *run, attempt int, worker primrosespar.Worker) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.leave(r)
	b.judge.Report(quarantiner.Outcome{Worker: worker, Job: r.task.Job.ID, Failed: true})
	b.planner.Requeue(r.task.Job.ID, b.now)
}

// stopped ends an eviction: what ran since the start is kept if the
// checkpoint succeeded, else what ran until the last periodic one.
func (b *Bencher) stopped(r *run, attempt int) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.leave(r)
	ran := max(b.now.Sub(r.started)-stopTime, 0)
	kept := ran
	if b.random.IntN(lostCheckpoints) == 0 {
		kept = ran / checkpointEvery * checkpointEvery
	}
	r.done += kept
	b.tally.lose(ran-kept+stopTime, r.task.Job.Shape.Accelerators())
	b.planner.Requeue(r.task.Job.ID, b.now)
}

// cancelMost cancels the jobs that the workload names for the wave, if they
// have not ended.
func (b *Bencher) cancelMost() {
	for _, t := range b.load.Tasks {
		r := b.jobs[t.Job.ID]
		if r == nil || !t.Cancelled || b.tally.ended[t.Job.ID] {
			continue
		}
		b.leave(r)
		r.attempt++
		b.tally.ended[t.Job.ID] = true
		b.tally.cancelled++
		b.planner.Remove(t.Job.ID, primrosespar.GangCancelled, b.now)
	}
}

// quarantine tells the planner which workers left or returned to service.
func (b *Bencher) quarantine() {
	if !b.policy.Quarantine {
		return
	}
	for _, c := range b.judge.Advance(b.now) {
		b.planner.SetQuarantined(c.Worker, c.Quarantined)
		if !c.Quarantined {
			continue
		}
		for _, e := range b.judge.Entries(b.now) {
			if e.Worker == c.Worker {
				b.at(b.now.Add(e.Remaining), func() {})
			}
		}
	}
}
