// Package bencher compares placement policies on committed workloads.
//
// It runs a planner on a virtual clock: arrivals, ends, cancellations and
// failures are events, all events of one instant are given to the planner
// free one call of Plan. Network and hosts are not modelled; stopping an
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
	planningTime = 300 * time.Millisecond
	stopTime     = 6 * time.Second
	startTime    = 2 * time.Second
	maxClaimTime = 9300 * time.Millisecond
)

const (
	// timeToFailure is how long a task runs on a worker that fails everything.
	timeToFailure = 10 * time.Second
	// checkpointInterval is the interval of periodic checkpoints; one in
	// failedCheckpointEvery of those taken on eviction does not succeed.
	checkpointInterval    = 30 * time.Minute
	failedCheckpointEvery = 10
	// largeJobSize is the number of accelerators of a large request.
	largeJobSize = 16
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

// PlannerPolicy is the planner of this project.
func PlannerPolicy() Policy {
	return Policy{Name: "ours", Quarantine: true, New: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) }}
}

// FirstInFirstOut places jobs strictly in order of arrival.
func FirstInFirstOut() Policy {
	return Policy{Name: "first_in_first_out", New: func() primrosespar.Planner { return newBaselinePlanner(true) }}
}

// BestFit places any job that fits, in the tightest block, and reserves
// nothing.
func BestFit() Policy {
	return Policy{Name: "best_fit", New: func() primrosespar.Planner { return newBaselinePlanner(false) }}
}

// Bencher is one run of a policy on a workload.
type Bencher struct {
	workload    Workload
	policy      Policy
	planner     primrosespar.Planner
	quarantiner *quarantiner.Quarantiner
	random      *rand.Rand
	events      events
	now         time.Time
	runs        map[primrosespar.JobID]*jobRun
	// occupancy shows the accelerators of placed gangs for any policy.
	occupancy    *packer.Packer
	lastSequence uint64
	stats        stats
}

// jobRun is the progress of one job.
type jobRun struct {
	job SimulatedJob
	// attempt tells the events of an earlier placement from the current one.
	attempt      int
	placed       bool
	started      time.Time
	savedWork    time.Duration
	slices       []primrosespar.Slice
	claimStarted bool
	// beyondGuarantee claims arrived while the whole guarantee was claimed.
	beyondGuarantee bool
}

// New returns a run that has not started.
func New(workload Workload, policy Policy) *Bencher {
	b := &Bencher{
		workload: workload, policy: policy, planner: policy.New(), quarantiner: quarantiner.New(),
		random: rand.New(rand.NewPCG(workload.Seed, 7)), runs: map[primrosespar.JobID]*jobRun{}, now: workload.Start, occupancy: packer.New(),
	}
	b.planner.SetWorkers(workload.Workers)
	b.occupancy.SetWorkers(workload.Workers, nil)
	b.planner.SetContracts(workload.ContractView)
	b.quarantiner.SetWorkers(len(workload.Workers))
	for _, job := range workload.Jobs {
		b.schedule(job.Arrival, func() { b.submit(job) })
	}
	for _, c := range workload.CancelTimes {
		b.schedule(c, b.cancelJobs)
	}
	return b
}

// Run runs until nothing is left to happen and returns the figures.
func (b *Bencher) Run() Result {
	for n := 0; b.events.Len() > 0 && n < maxEvents; n++ {
		next := b.events.items[0].at
		b.stats.addInterval(b.occupancy, next.Sub(b.now), b.now.Before(b.workload.End))
		b.now = next
		for b.events.Len() > 0 && !b.events.items[0].at.After(b.now) {
			heap.Pop(&b.events).(*event).action()
		}
		b.advanceQuarantine()
		b.applyPlan(b.planner.Plan(b.now))
	}
	return b.stats.result(b.workload, b.policy, len(b.runs))
}

func (b *Bencher) schedule(at time.Time, action func()) {
	b.lastSequence++
	heap.Push(&b.events, &event{at: at, sequence: b.lastSequence, action: action})
}

func (b *Bencher) submit(job SimulatedJob) {
	free := b.occupancy.Count(packer.Free)
	if err := b.planner.Add(job.Job, b.now); err != nil {
		b.stats.refused++
		return
	}
	r := &jobRun{job: job}
	b.runs[job.Job.ID] = r
	if job.Job.Claim && b.guaranteeInUse(job.Job.Account) {
		r.beyondGuarantee = true
		b.stats.beyondGuarantee++
	}
	size := job.Job.Shape.Accelerators()
	if size >= largeJobSize && free+b.occupancy.Count(packer.Preemptible) >= size {
		b.stats.reclaimLargeJobs++
		if !b.occupancy.Packs(demand(job.Job.Shape)) {
			b.stats.reclaimShapeRefused++
		}
	}
	if size < largeJobSize || free < size {
		return
	}
	b.stats.largeJobs++
	if packer.Fits(b.occupancy.Supply(packer.ViewFree), demand(job.Job.Shape)) >= 0 {
		b.stats.shapeRefused++
	}
}

func (b *Bencher) applyPlan(plan primrosespar.Plan) {
	for _, e := range plan.Preemptions {
		r := b.runs[e.Victim]
		attempt := r.attempt
		b.schedule(b.now.Add(stopTime), func() { b.finishPreemption(r, attempt) })
	}
	for _, p := range plan.Placements {
		b.start(b.runs[p.Job], p)
	}
}

func (b *Bencher) start(r *jobRun, p primrosespar.Placement) {
	r.attempt++
	r.placed, r.slices = true, p.Slices
	state := packer.NonPreemptible
	if p.Borrowed {
		state = packer.Preemptible
	}
	b.occupancy.Hold(p.Slices, r.job.Job.ID, state)
	r.started = b.now.Add(startTime)
	attempt := r.attempt
	if r.job.Job.Claim && !r.claimStarted && !r.beyondGuarantee {
		r.claimStarted = true
		b.stats.addClaim(r.started.Add(planningTime).Sub(r.job.Arrival))
	}
	if worker, faulty := b.faultyWorker(p.Slices); faulty {
		b.schedule(r.started.Add(timeToFailure), func() { b.fail(r, attempt, worker) })
		return
	}
	b.schedule(r.started.Add(r.job.RunTime-r.savedWork), func() { b.finish(r, attempt) })
}

// guaranteeInUse reports whether placed claims hold every guaranteed block of the
// account. A claim that failed on a bad worker runs longer than drawn, so that
// the next one can find the guarantee in use.
func (b *Bencher) guaranteeInUse(account primrosespar.Account) bool {
	c, _ := b.workload.ContractView.Find(account)
	placed := 0
	for _, r := range b.runs {
		if r.placed && r.job.Job.Claim && r.job.Job.Account == account {
			placed++
		}
	}
	return placed >= c.Contract.Guarantees[0].Count
}

// release ends the current placement, if there is one.
func (b *Bencher) release(r *jobRun) {
	r.placed = false
	b.occupancy.Release(r.slices, r.job.Job.ID)
	r.slices = nil
}

// demand returns the blocks that the shape takes.
func demand(s primrosespar.Shape) packer.Counts {
	var c packer.Counts
	c[packer.LevelOf(s.Block)] = s.Members
	return c
}

func (b *Bencher) faultyWorker(slices []primrosespar.Slice) (primrosespar.Worker, bool) {
	if b.now.Before(b.workload.FaultsFrom) || !b.now.Before(b.workload.FaultsUntil) {
		return "", false
	}
	for _, s := range slices {
		if b.workload.FaultyWorkers[s.Worker] {
			return s.Worker, true
		}
	}
	return "", false
}

func (b *Bencher) finish(r *jobRun, attempt int) {
	if r.attempt != attempt || !r.placed {
		return
	}
	for _, s := range r.slices {
		b.quarantiner.Report(quarantiner.Outcome{Worker: s.Worker, Job: r.job.Job.ID})
	}
	b.release(r)
	b.planner.Remove(r.job.Job.ID, primrosespar.GangDone, b.now)
	b.stats.addCompletion(r.job, b.now)
}

func (b *Bencher) fail(r *jobRun, attempt int, worker primrosespar.Worker) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.release(r)
	b.quarantiner.Report(quarantiner.Outcome{Worker: worker, Job: r.job.Job.ID, Failed: true})
	b.planner.Requeue(r.job.Job.ID, b.now)
}

// finishPreemption ends an eviction: what ran since the start is kept if the
// checkpoint succeeded, else what ran until the last periodic one.
func (b *Bencher) finishPreemption(r *jobRun, attempt int) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.release(r)
	worked := max(b.now.Sub(r.started)-stopTime, 0)
	saved := worked
	if b.random.IntN(failedCheckpointEvery) == 0 {
		saved = worked / checkpointInterval * checkpointInterval
	}
	r.savedWork += saved
	b.stats.addLostWork(worked-saved+stopTime, r.job.Job.Shape.Accelerators())
	b.planner.Requeue(r.job.Job.ID, b.now)
}

// cancelJobs cancels the jobs that the workload names for the wave, if they
// have not ended.
func (b *Bencher) cancelJobs() {
	for _, job := range b.workload.Jobs {
		r := b.runs[job.Job.ID]
		if r == nil || !job.Cancelled || b.stats.ended[job.Job.ID] {
			continue
		}
		b.release(r)
		r.attempt++
		b.stats.ended[job.Job.ID] = true
		b.stats.cancelled++
		b.planner.Remove(job.Job.ID, primrosespar.GangCancelled, b.now)
	}
}

// advanceQuarantine tells the planner which workers left or returned to service.
func (b *Bencher) advanceQuarantine() {
	if !b.policy.Quarantine {
		return
	}
	for _, c := range b.quarantiner.Advance(b.now) {
		b.planner.SetQuarantined(c.Worker, c.Quarantined)
		if !c.Quarantined {
			continue
		}
		for _, e := range b.quarantiner.Entries(b.now) {
			if e.Worker == c.Worker {
				b.schedule(b.now.Add(e.Remaining), func() {})
			}
		}
	}
}
