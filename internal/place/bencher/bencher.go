// Package bencher compares placement policies on generated, repeatable
// workloads.
//
// It is a discrete-event simulation of one place. Arrivals, ends, cancellations
// and failures of jobs are events on a virtual clock, and Plan is called once
// after all events of one instant. Network and hosts are not simulated;
// stopping a preempted gang and starting a placed one take the longest time
// that the design allows.
//
// # Usage
//
//	workload := bencher.NewWorkload("normal", 1)
//	result := bencher.New(workload, bencher.PlannerPolicy()).Run()
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

// Longest times of the steps of a preemption and a start, and of the start of a
// claim (section 8.4 of docs/design.md).
const (
	planningTime = 300 * time.Millisecond
	stopTime     = 6 * time.Second
	startTime    = 2 * time.Second
	maxClaimTime = 9300 * time.Millisecond
)

const (
	// timeToFailure is how long a task runs on a faulty worker before it fails.
	timeToFailure = 10 * time.Second
	// checkpointInterval is the interval of periodic checkpoints. Of the
	// checkpoints on preemption, one in failedCheckpointEvery fails.
	checkpointInterval    = 30 * time.Minute
	failedCheckpointEvery = 10
	// largeJobSize is the number of accelerators from which a job counts as
	// large.
	largeJobSize = 16
	// maxInstants limits the instants of a run, to end one that makes no
	// progress.
	maxInstants = 500_000
)

// Policy is a placement policy with its name in the results.
type Policy struct {
	Name string
	New  func() primrosespar.Planner
	// Quarantine takes workers on which all jobs fail out of service.
	Quarantine bool
}

// PlannerPolicy returns the policy that is in use, that of package planner.
func PlannerPolicy() Policy {
	return Policy{Name: "ours", Quarantine: true, New: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) }}
}

// FirstInFirstOut returns a policy that places jobs strictly in order of
// arrival.
func FirstInFirstOut() Policy {
	return Policy{Name: "first_in_first_out", New: func() primrosespar.Planner { return newBaselinePlanner(true) }}
}

// BestFit returns a policy that places any job that fits, each in the smallest
// free blocks, and reserves nothing for guarantees.
func BestFit() Policy {
	return Policy{Name: "best_fit", New: func() primrosespar.Planner { return newBaselinePlanner(false) }}
}

// Bencher simulates one run of a policy on a workload.
type Bencher struct {
	workload    Workload
	policy      Policy
	planner     primrosespar.Planner
	quarantiner *quarantiner.Quarantiner
	random      *rand.Rand
	events      events
	now         time.Time
	runs        map[primrosespar.JobID]*jobRun
	// occupancy holds the slices of the placed jobs. It is kept apart from the
	// planner's own state so that all policies are measured in the same way.
	occupancy    *packer.Packer
	lastSequence uint64
	stats        stats
}

// jobRun is the progress of one job.
type jobRun struct {
	job SimulatedJob
	// attempt counts the placements. An event of an earlier placement has a
	// lower number and is ignored.
	attempt   int
	placed    bool
	startedAt time.Time
	// savedWork is the run time that a restart need not repeat.
	savedWork    time.Duration
	slices       []primrosespar.Slice
	claimStarted bool
	// beyondGuarantee is true for a claim that arrived while the account's
	// whole guarantee was in use.
	beyondGuarantee bool
}

// New returns a Bencher whose simulation has not started.
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

// Run processes events until none is left and returns the results.
func (b *Bencher) Run() Result {
	for n := 0; b.events.Len() > 0 && n < maxInstants; n++ {
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

// schedule adds an event that calls the action.
func (b *Bencher) schedule(at time.Time, action func()) {
	b.lastSequence++
	heap.Push(&b.events, &event{at: at, sequence: b.lastSequence, action: action})
}

// submit passes an arriving job to the planner and records whether it is a
// claim beyond the guarantee and whether a large job finds free blocks.
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

// applyPlan carries out the preemptions and placements of a plan.
func (b *Bencher) applyPlan(plan primrosespar.Plan) {
	for _, p := range plan.Preemptions {
		r := b.runs[p.Victim]
		attempt := r.attempt
		b.schedule(b.now.Add(stopTime), func() { b.finishPreemption(r, attempt) })
	}
	for _, p := range plan.Placements {
		b.start(b.runs[p.Job], p)
	}
}

// start places a job and schedules its end, or its failure on a faulty worker.
func (b *Bencher) start(r *jobRun, p primrosespar.Placement) {
	r.attempt++
	r.placed, r.slices = true, p.Slices
	state := packer.NonPreemptible
	if p.Borrowed {
		state = packer.Preemptible
	}
	b.occupancy.Hold(p.Slices, r.job.Job.ID, state)
	r.startedAt = b.now.Add(startTime)
	attempt := r.attempt
	if r.job.Job.Claim && !r.claimStarted && !r.beyondGuarantee {
		r.claimStarted = true
		b.stats.addClaim(r.startedAt.Add(planningTime).Sub(r.job.Arrival))
	}
	if worker, faulty := b.faultyWorker(p.Slices); faulty {
		b.schedule(r.startedAt.Add(timeToFailure), func() { b.fail(r, attempt, worker) })
		return
	}
	b.schedule(r.startedAt.Add(r.job.RunTime-r.savedWork), func() { b.finish(r, attempt) })
}

// guaranteeInUse reports whether placed claims use every guaranteed block of
// the account. The workload draws one claim per block at a time, but a claim
// that failed on a faulty worker ends late and can overlap the next one.
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

// release frees the slices of a job, if it is placed.
func (b *Bencher) release(r *jobRun) {
	r.placed = false
	b.occupancy.Release(r.slices, r.job.Job.ID)
	r.slices = nil
}

// demand returns the number of blocks of each size that the shape needs.
func demand(s primrosespar.Shape) packer.Counts {
	var c packer.Counts
	c[packer.LevelOf(s.Block)] = s.Members
	return c
}

// faultyWorker returns the first worker of the slices that is faulty now.
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

// finish ends a job that ran to its end.
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

// fail ends the attempt of a job on a faulty worker and queues the job again.
func (b *Bencher) fail(r *jobRun, attempt int, worker primrosespar.Worker) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.release(r)
	b.quarantiner.Report(quarantiner.Outcome{Worker: worker, Job: r.job.Job.ID, Failed: true})
	b.planner.Requeue(r.job.Job.ID, b.now)
}

// finishPreemption ends the attempt of a preempted job and queues the job
// again. The work since the start is saved if the checkpoint on preemption
// succeeds, otherwise that until the last periodic checkpoint.
func (b *Bencher) finishPreemption(r *jobRun, attempt int) {
	if r.attempt != attempt || !r.placed {
		return
	}
	b.release(r)
	worked := max(b.now.Sub(r.startedAt)-stopTime, 0)
	saved := worked
	if b.random.IntN(failedCheckpointEvery) == 0 {
		saved = worked / checkpointInterval * checkpointInterval
	}
	r.savedWork += saved
	b.stats.addLostWork(worked-saved+stopTime, r.job.Job.Shape.Accelerators())
	b.planner.Requeue(r.job.Job.ID, b.now)
}

// cancelJobs cancels the jobs of the cancellation wave that have arrived and
// not ended.
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

// advanceQuarantine passes the quarantines that started or ended to the
// planner. An empty event at the end of each quarantine makes the simulation
// plan then.
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
