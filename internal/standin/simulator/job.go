package simulator

import (
	"fmt"
	"math"
	"time"

	"primrosespar.example/primrosespar"
)

// jobKind describes a kind of job. The figures are those of the users' first
// installations.
type jobKind struct {
	queue primrosespar.Queue
	// share is the share of all jobs that are of this kind.
	share float64
	// value is what a job earns if it is done in time.
	value float64
	// slack times the run time, plus target, is the time in which a job should
	// be done.
	slack  float64
	target time.Duration
	// medianRunTime is the median run time of a task; all tasks of a job run
	// for the same time.
	medianRunTime time.Duration
	// meanTasks is the mean number of tasks of a job before the number is
	// rounded down and limited to what fits into a rack.
	meanTasks float64
	// need is what a task needs without its accelerators, whose number is drawn
	// from acceleratorCounts.
	need              primrosespar.Resources
	acceleratorCounts []int
	gang              bool
	checkpoints       bool
}

// jobKinds returns the kinds in the order in which their queues get priorities,
// from 0.
func jobKinds() []jobKind {
	return []jobKind{
		{
			queue: "urgent", share: 0.56, value: 4, slack: 1.5, target: 600 * time.Millisecond, medianRunTime: 2500 * time.Millisecond,
			meanTasks: 3, need: primrosespar.Resources{Millicores: 7_500, MemoryMiB: 15_000}, acceleratorCounts: []int{1, 2, 4, 8, 8}, gang: true,
		},
		{
			queue: "large", share: 0.2, value: 3, slack: 3, target: 1500 * time.Millisecond, medianRunTime: 11 * time.Second,
			meanTasks: 4, need: primrosespar.Resources{Millicores: 26_000, MemoryMiB: 68_000}, acceleratorCounts: []int{1, 2, 4, 8, 8}, gang: true,
		},
		{
			queue: "small", share: 0.24, value: 1, slack: 3, target: 3 * time.Second, medianRunTime: 7600 * time.Millisecond,
			meanTasks: 12, need: primrosespar.Resources{Millicores: 5_600, MemoryMiB: 15_000}, acceleratorCounts: []int{1}, checkpoints: true,
		},
	}
}

// job is a submitted job with the times of its stages.
type job struct {
	kind        jobKind
	submission  primrosespar.Submission
	runTime     time.Duration
	arrivedAt   time.Time
	startedAt   time.Time
	completedAt time.Time
}

// submit submits a random job to the scheduler.
func (s *Simulator) submit() {
	drawn := s.random.Float64()
	kinds := jobKinds()
	kind := kinds[len(kinds)-1]
	for _, candidate := range kinds {
		if drawn < candidate.share {
			kind = candidate
			break
		}
		drawn -= candidate.share
	}
	j := &job{kind: kind, arrivedAt: s.now}
	j.runTime = time.Duration(float64(kind.medianRunTime) * math.Exp(0.3*s.random.NormFloat64()))
	need := kind.need
	need.Accelerators = kind.acceleratorCounts[s.random.IntN(len(kind.acceleratorCounts))]
	j.submission = primrosespar.Submission{
		ID: primrosespar.JobID(fmt.Sprintf("%016x", len(s.jobs)+1)), Queue: kind.queue, Account: accountName(s.random.IntN(accountCount)),
		Steps: []primrosespar.Step{{
			Count: 1 + int(s.random.ExpFloat64()*(kind.meanTasks-1)), Need: need, Gang: kind.gang, OneRack: kind.gang,
			Checkpointing: kind.checkpoints,
			// Users estimate run times only roughly.
			Estimate: time.Duration(float64(j.runTime) * math.Exp(0.4*s.random.NormFloat64())),
		}},
	}
	maxTasks := acceleratorsPerWorker / need.Accelerators * workersPerRack
	j.submission.Steps[0].Count = min(j.submission.Steps[0].Count, maxTasks)
	s.jobs[j.submission.ID] = j
	s.scheduler.Submit(j.submission, s.now)
}

// objective returns the time after its arrival in which the job should be done.
func (j *job) objective() time.Duration {
	return time.Duration(j.kind.slack*float64(j.runTime)) + j.kind.target
}
