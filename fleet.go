package primrosespar

import (
	"net/netip"
	"time"
)

// Service is the name of a pool of workers that run the tasks of some queues.
type Service string

// Queue is the name of a queue of jobs.
type Queue string

// Resources are the resources that a task needs or a worker has.
type Resources struct {
	Millicores   int
	MemoryMiB    int
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Holds reports whether the used resources do not exceed r.
func (r Resources) Holds(used Resources) bool {
	left := r.Sub(used)
	return left.Millicores >= 0 && left.MemoryMiB >= 0 && left.Accelerators >= 0
}

// Fits returns how many times need fits into r, at most limit.
func (r Resources) Fits(need Resources, limit int) int {
	n := limit
	for _, pair := range [][2]int{
		{r.Millicores, need.Millicores}, {r.MemoryMiB, need.MemoryMiB}, {r.Accelerators, need.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return max(n, 0)
}

// Step is one stage of a submitted job: Count tasks with the same resource
// needs.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's estimate of how long a task takes; it may be
	// wrong.
	Estimate time.Duration
	// After are the indices of the steps that must finish first.
	After []int
	// The tasks of a Gang step only make progress while all of them run. Tasks
	// with OneRack are slow when they are spread over several racks.
	Gang    bool
	OneRack bool
	// Label must be among the labels of the worker. DataRack is the rack of the
	// task's data, where it runs faster.
	Label    string
	DataRack Rack
	// PerWorker is the maximum number of tasks of the step on one worker; 0
	// means no limit.
	PerWorker int
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"Lasting"`
	// MaxUnavailable is the maximum number of tasks of a long-running step that
	// may be stopped at once by decision of the scheduler; 0 means no limit.
	MaxUnavailable int `cbor:"MostAway"`
	// Image is the name of the program that the tasks run; tasks with the same
	// image are assumed to behave alike.
	Image string
	// Target is the tail latency that a long-running task has to stay below
	// when it serves users; 0 if it serves none.
	Target time.Duration
	// Filler tasks use processor time that other tasks leave idle, so their
	// cores do not count towards the used capacity of a worker.
	Filler bool
}

// Occupies returns the part of a worker's capacity that a task uses.
func (s Step) Occupies() Resources {
	need := s.Need
	if s.Filler {
		need.Millicores = 0
	}
	return need
}

// Repeat makes a job run Count times, at fixed intervals from Start. Count 0
// runs it once, immediately.
type Repeat struct {
	Count int
	Start time.Time
	Every time.Duration
}

// Submission is a job of one or more steps as its caller submitted it.
type Submission struct {
	ID      JobID
	Queue   Queue
	Account Account
	// Terms are the terms of the queue when the job was accepted. They apply if
	// the queue has been removed since.
	Terms  QueueTerms
	Spec   string
	Steps  []Step
	Repeat Repeat
}

// Tasks returns the number of tasks of one occurrence.
func (s Submission) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Limits of a submission, beyond which the scheduler cannot carry it or sums of
// its numbers overflow. What callers may submit is narrower.
const (
	maxSubmissionTasks = 1 << 20
	maxOccurrences     = 1 << 20
	maxTaskResource    = 1 << 40
)

// Validate returns CodeOutOfRange unless the scheduler can carry the job.
func (s Submission) Validate() error {
	if s.Repeat.Count < 0 || s.Repeat.Count > maxOccurrences {
		return Fail(CodeOutOfRange, "%d repetitions are out of range", s.Repeat.Count)
	}
	tasks := 0
	largest := Resources{maxTaskResource, maxTaskResource, maxTaskResource}
	for i, step := range s.Steps {
		if step.Count < 1 || step.Count > maxSubmissionTasks-tasks {
			return Fail(CodeOutOfRange, "step %d: %d tasks are out of range", i, step.Count)
		}
		tasks += step.Count
		if !step.Need.Holds(Resources{}) || !largest.Holds(step.Need) {
			return Fail(CodeOutOfRange, "step %d: resources %+v are out of range", i, step.Need)
		}
		for _, predecessor := range step.After {
			if predecessor < 0 || predecessor >= len(s.Steps) {
				return Fail(CodeOutOfRange, "step %d comes after step %d, which does not exist", i, predecessor)
			}
		}
	}
	return nil
}

// Memory that a host needs for a live job, beside its tasks that run: for the
// job, for each step and for each task.
const (
	jobMemory  = 4 << 10
	stepMemory = 1 << 10
	taskMemory = 9
)

// Memory returns an estimate of the bytes that the host which schedules the job
// needs for each live occurrence, beside those for tasks that run.
func (s Submission) Memory() int64 {
	n := jobMemory + len(s.Spec)
	for i := range s.Steps {
		n += stepMemory + taskMemory*s.Steps[i].Count
	}
	return int64(n)
}

// JobState is the state of a submitted job as its caller sees it.
type JobState string

// Job states.
const (
	JobQueued    JobState = "queued"
	JobActive    JobState = "active"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the job will never run again.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// TaskName identifies one task of a submitted job. Occurrence is 0 for a job
// that does not repeat.
type TaskName struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Run is one execution of a task. Number is higher for each later execution.
type Run struct {
	Task   TaskName
	Number uint64
}

// WorkerInfo describes one worker of the fleet as the worker announces itself.
type WorkerInfo struct {
	Worker Worker
	// StartedAt is when the worker started. A worker that restarted under the
	// same name has none of its earlier runs.
	StartedAt time.Time
	Service   Service
	Address   netip.AddrPort
	Place     Place
	// Region is that of the place, empty if it is not known.
	Region   Region
	Rack     Rack
	Labels   []string
	Capacity Resources
	// Draining workers accept no new work and leave the fleet soon.
	Draining bool
	// ColdRemaining is how much longer the worker was slow after its start when it
	// announced this; 0 if it was warm.
	ColdRemaining time.Duration
	// DrainRemaining is the least time for which a draining worker still ran when
	// it announced this; 0 if it did not say.
	DrainRemaining time.Duration
}

// RunEnd says how a run ended.
type RunEnd string

// Ends of a run. EndMemberFailed means that another member of the gang ended,
// EndGangTimeout that the other members did not start in time.
const (
	EndDone         RunEnd = "done"
	EndFailed       RunEnd = "failed"
	EndStopped      RunEnd = "stopped"
	EndLeaseExpired RunEnd = "lapsed"
	EndMemberFailed RunEnd = "broken"
	EndGangTimeout  RunEnd = "alone"
)

// ActiveRun is a run that is active on a worker.
type ActiveRun struct {
	Run        Run
	Checkpoint string
	Percent    float64
	// Tail is the tail latency over the last half second of a task that serves
	// users. For other tasks it only tells, where the platform reports it,
	// whether they use a processor.
	Tail time.Duration
}

// EndedRun is a run that ended on a worker. Sequence numbers the ended runs
// from 1 since the worker started.
type EndedRun struct {
	Sequence   uint64
	Run        Run
	End        RunEnd
	Checkpoint string
}

// WorkerReport is a worker's answer to a Poll.
type WorkerReport struct {
	StartedAt time.Time
	// Clock is the worker's monotonic clock, which counts from its start.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
	// Complete is set if Active and Ended name all runs of the worker. If not,
	// more ends follow once these are acknowledged, and a run that is not named
	// may be among them.
	Complete bool
}
