package simulator

import (
	"fmt"
	"math"
	"time"

	"primrosespar.example/primrosespar"
)

// kind is one kind of jobs, as on the users' first installations.
type kind struct {
	queue primrosespar.Queue
	// share of the jobs are of this kind, and each is worth so much.
	share float64
	worth float64
	slack float64
	// target is added to the slack times the work.
	target time.Duration
	work   time.Duration
	tasks  float64
	need   primrosespar.Resources
	sizes  []int
	gang   bool
	saves  bool
}

// kinds returns the kinds in the order of their priority.
func kinds() []kind {
	return []kind{
		{
			queue: "urgent", share: 0.56, worth: 4, slack: 1.5, target: 600 * time.Millisecond, work: 2500 * time.Millisecond,
			tasks: 3, need: primrosespar.Resources{Millicores: 7_500, MemoryMiB: 15_000}, sizes: []int{1, 2, 4, 8, 8}, gang: true,
		},
		{
			queue: "large", share: 0.2, worth: 3, slack: 3, target: 1500 * time.Millisecond, work: 11 * time.Second,
			tasks: 4, need: primrosespar.Resources{Millicores: 26_000, MemoryMiB: 68_000}, sizes: []int{1, 2, 4, 8, 8}, gang: true,
		},
		{
			queue: "small", share: 0.24, worth: 1, slack: 3, target: 3 * time.Second, work: 7600 * time.Millisecond,
			tasks: 12, need: primrosespar.Resources{Millicores: 5_600, MemoryMiB: 15_000}, sizes: []int{1}, saves: true,
		},
	}
}

// job is one job and how it fared.
type job struct {
	kind      kind
	sub       primrosespar.Submission
	work      time.Duration
	arrived   time.Time
	startedAt time.Time
	doneAt    time.Time
}

// submit draws a job and hands it in.
func (s *Simulator) submit() {
	drawn := s.random.Float64()
	all := kinds()
	k := all[len(all)-1]
	for _, other := range all {
		if drawn < other.share {
			k = other
			break
		}
		drawn -= other.share
	}
	j := &job{kind: k, arrived: s.now}
	j.work = time.Duration(float64(k.work) * math.Exp(0.3*s.random.NormFloat64()))
	need := k.need
	need.Accelerators = k.sizes[s.random.IntN(len(k.sizes))]
	j.sub = primrosespar.Submission{
		ID: primrosespar.JobID(fmt.Sprintf("%016x", len(s.jobs)+1)), Queue: k.queue, Account: account(s.random.IntN(accounts)),
		Steps: []primrosespar.Step{{
			Count: 1 + int(s.random.ExpFloat64()*(k.tasks-1)), Need: need, Gang: k.gang, OneRack: k.gang,
			Checkpointing: k.saves,
			// Estimates are rough.
			Estimate: time.Duration(float64(j.work) * math.Exp(0.4*s.random.NormFloat64())),
		}},
	}
	limit := accelerators / need.Accelerators * rackWorkers
	j.sub.Steps[0].Count = min(j.sub.Steps[0].Count, limit)
	s.jobs[j.sub.ID] = j
	s.core.Submit(j.sub, s.now)
}

// objective is the time in which the job should be done.
func (j *job) objective() time.Duration {
	return time.Duration(j.kind.slack*float64(j.work)) + j.kind.target
}
