package bencher

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// baseline places jobs in order of arrival in the tightest free blocks. It
// knows neither guarantees nor preemption. A strict one lets no job pass.
type baseline struct {
	strict bool
	pack   *packer.Packer
	jobs   map[primrosespar.JobID]primrosespar.Job
	held   map[primrosespar.JobID][]primrosespar.Slice
	queue  []primrosespar.JobID
	quota  map[primrosespar.Account]int
	use    map[primrosespar.Account]int
}

var _ primrosespar.Planner = (*baseline)(nil)

func newBaseline(strict bool) *baseline {
	return &baseline{
		strict: strict, pack: packer.New(), jobs: map[primrosespar.JobID]primrosespar.Job{},
		held:  map[primrosespar.JobID][]primrosespar.Slice{},
		quota: map[primrosespar.Account]int{}, use: map[primrosespar.Account]int{},
	}
}

// SetWorkers takes new or changed workers.
func (b *baseline) SetWorkers(entries []primrosespar.WorkerEntry) {
	b.pack.SetWorkers(entries, nil)
}

// SetQuarantined is ignored: a baseline knows no quarantine.
func (b *baseline) SetQuarantined(primrosespar.Worker, bool) {}

// SetContracts takes the quotas.
func (b *baseline) SetContracts(view primrosespar.ContractView) {
	for _, c := range view.Contracts {
		b.quota[c.Contract.Account] = c.Contract.MaxAccelerators
	}
}

// Add queues a job.
func (b *baseline) Add(job primrosespar.Job, _ time.Time) error {
	b.jobs[job.ID] = job
	b.queue = append(b.queue, job.ID)
	return nil
}

// Restore is not used in a run.
func (b *baseline) Restore(primrosespar.Gang, time.Time) {}

// Requeue frees the job's accelerators and queues it again.
func (b *baseline) Requeue(id primrosespar.JobID, _ time.Time) {
	b.free(id)
	b.queue = append(b.queue, id)
}

// Remove forgets the job.
func (b *baseline) Remove(id primrosespar.JobID, _ primrosespar.GangState, _ time.Time) {
	b.free(id)
	delete(b.jobs, id)
}

func (b *baseline) free(id primrosespar.JobID) {
	held, ok := b.held[id]
	if !ok {
		return
	}
	b.pack.Release(held, id)
	job := b.jobs[id]
	b.use[job.Account] -= job.Shape.Accelerators()
	delete(b.held, id)
}

// Plan places what fits.
func (b *baseline) Plan(time.Time) primrosespar.Plan {
	var plan primrosespar.Plan
	var left []primrosespar.JobID
	blocked := false
	for _, id := range b.queue {
		job, known := b.jobs[id]
		if !known {
			continue
		}
		if blocked || !b.place(job) {
			left = append(left, id)
			blocked = b.strict
			continue
		}
		plan.Placements = append(plan.Placements, primrosespar.Placement{Job: id, Slices: b.held[id], Reason: primrosespar.CodePlaced})
	}
	b.queue = left
	return plan
}

func (b *baseline) place(job primrosespar.Job) bool {
	if b.use[job.Account]+job.Shape.Accelerators() > b.quota[job.Account] {
		return false
	}
	var held []primrosespar.Slice
	for m := range job.Shape.Members {
		block, ok := b.pack.BestFit(packer.ViewFree, packer.LevelOf(job.Shape.Block), nil)
		if !ok {
			b.pack.Release(held, job.ID)
			return false
		}
		taken := b.pack.Slices(block, 0, job.Shape.Block, m)
		b.pack.Hold(taken, job.ID, packer.NonPreemptible)
		held = append(held, taken...)
	}
	b.held[job.ID] = held
	b.use[job.Account] += job.Shape.Accelerators()
	return true
}

// State summarises the place.
func (b *baseline) State() primrosespar.PlaceState {
	return primrosespar.PlaceState{
		Accelerators: b.pack.Total(), Free: b.pack.Count(packer.Free), LargestBlock: b.pack.Largest(),
		Queued: len(b.queue), Running: len(b.held),
	}
}
