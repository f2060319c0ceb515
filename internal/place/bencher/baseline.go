package bencher

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// baselinePlanner places jobs in order of arrival, each in the smallest free
// blocks that fit. It has neither guarantees nor preemption. With inOrder no
// job is placed before one that arrived earlier.
type baselinePlanner struct {
	inOrder bool
	packer  *packer.Packer
	jobs    map[primrosespar.JobID]primrosespar.Job
	// slices are those of the placed jobs.
	slices map[primrosespar.JobID][]primrosespar.Slice
	queue  []primrosespar.JobID
	quotas map[primrosespar.Account]int
	// usage counts the accelerators of each account's placed jobs.
	usage map[primrosespar.Account]int
}

var _ primrosespar.Planner = (*baselinePlanner)(nil)

func newBaselinePlanner(inOrder bool) *baselinePlanner {
	return &baselinePlanner{
		inOrder: inOrder, packer: packer.New(), jobs: map[primrosespar.JobID]primrosespar.Job{},
		slices: map[primrosespar.JobID][]primrosespar.Slice{},
		quotas: map[primrosespar.Account]int{}, usage: map[primrosespar.Account]int{},
	}
}

// SetWorkers adds or updates workers.
func (b *baselinePlanner) SetWorkers(entries []primrosespar.WorkerEntry) {
	b.packer.SetWorkers(entries, nil)
}

// SetQuarantined does nothing, since the baselines have no quarantine.
func (b *baselinePlanner) SetQuarantined(primrosespar.Worker, bool) {}

// SetContracts sets the quotas of the accounts.
func (b *baselinePlanner) SetContracts(view primrosespar.ContractView) {
	for _, c := range view.Contracts {
		b.quotas[c.Contract.Account] = c.Contract.MaxAccelerators
	}
}

// Add queues a job.
func (b *baselinePlanner) Add(job primrosespar.Job, _ time.Time) error {
	b.jobs[job.ID] = job
	b.queue = append(b.queue, job.ID)
	return nil
}

// Restore does nothing; a simulation has no change of lease holder.
func (b *baselinePlanner) Restore(primrosespar.Gang, time.Time) {}

// Requeue frees the job's accelerators and queues it again.
func (b *baselinePlanner) Requeue(id primrosespar.JobID, _ time.Time) {
	b.release(id)
	b.queue = append(b.queue, id)
}

// Remove forgets the job.
func (b *baselinePlanner) Remove(id primrosespar.JobID, _ primrosespar.GangState, _ time.Time) {
	b.release(id)
	delete(b.jobs, id)
}

// release frees the accelerators of a placed job.
func (b *baselinePlanner) release(id primrosespar.JobID) {
	slices, ok := b.slices[id]
	if !ok {
		return
	}
	b.packer.Release(slices, id)
	job := b.jobs[id]
	b.usage[job.Account] -= job.Shape.Accelerators()
	delete(b.slices, id)
}

// Plan places the queued jobs that fit.
func (b *baselinePlanner) Plan(time.Time) primrosespar.Plan {
	var plan primrosespar.Plan
	var waiting []primrosespar.JobID
	blocked := false
	for _, id := range b.queue {
		job, known := b.jobs[id]
		if !known {
			continue
		}
		if blocked || !b.reserve(job) {
			waiting = append(waiting, id)
			blocked = b.inOrder
			continue
		}
		plan.Placements = append(plan.Placements, primrosespar.Placement{Job: id, Slices: b.slices[id], Reason: primrosespar.CodePlaced})
	}
	b.queue = waiting
	return plan
}

// reserve reserves blocks for all members of the job and reports whether that
// succeeded.
func (b *baselinePlanner) reserve(job primrosespar.Job) bool {
	if b.usage[job.Account]+job.Shape.Accelerators() > b.quotas[job.Account] {
		return false
	}
	var slices []primrosespar.Slice
	for member := range job.Shape.Members {
		block, ok := b.packer.BestFit(packer.ViewFree, packer.LevelOf(job.Shape.Block), nil)
		if !ok {
			b.packer.Release(slices, job.ID)
			return false
		}
		blockSlices := b.packer.Slices(block, 0, job.Shape.Block, member)
		b.packer.Hold(blockSlices, job.ID, packer.NonPreemptible)
		slices = append(slices, blockSlices...)
	}
	b.slices[job.ID] = slices
	b.usage[job.Account] += job.Shape.Accelerators()
	return true
}

// State returns a summary of the place.
func (b *baselinePlanner) State() primrosespar.PlaceState {
	return primrosespar.PlaceState{
		Accelerators: b.packer.Total(), Free: b.packer.Count(packer.Free), LargestBlock: b.packer.Largest(),
		Queued: len(b.queue), Running: len(b.slices),
	}
}
