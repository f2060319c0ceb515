package primrosespar

import (
	"net/netip"
	"time"
)

// Service names a pool of workers that run the tasks of some queues.
type Service string

// Queue names a queue of jobs.
type Queue string

// Resources are what a task needs or a worker has.
type Resources struct {
	Millicores   int
	MemoryMiB    int
	Accelerators int
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits returns how many times need fits, at most limit.
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

// Step is one stage of a submitted job: Count tasks of equal need.
type Step struct {
	Count int
	Need  Resources
	// Estimate is how long a task may take; it is not trusted.
	Estimate time.Duration
	// After are the steps, by index, that must be done first.
	After []int
	// Gang tasks work only all at once; OneRack tasks are slow across racks.
	Gang    bool
	OneRack bool
	// Label is required of a worker; DataRack is where the task runs fast.
	Label    string
	DataRack Rack
	// PerWorker bounds the tasks of the step on one worker; 0 is no bound.
	PerWorker int
	// Checkpointing tasks save their progress and can resume.
	Checkpointing bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"Lasting"`
	// MaxUnavailable is how many tasks of a long-running step may be away at once by
	// decision of the scheduler; 0 is no bound.
	MaxUnavailable int `cbor:"MostAway"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// Target is the tail of the response times that a long-running task keeps below
	// for its own users; 0 if it serves nobody.
	Target time.Duration
	// Filler tasks take the processor time that others leave unused, so their
	// cores do not count against a worker.
	Filler bool
}

// Occupies returns what a task takes of its worker's capacity.
func (s Step) Occupies() Resources {
	need := s.Need
	if s.Filler {
		need.Millicores = 0
	}
	return need
}

// Repeat makes a job run several times at fixed intervals; Count 0 runs it
// once and at once.
type Repeat struct {
	Count int
	Start time.Time
	Every time.Duration
}

// Submission is a job of several steps as its caller hands it in.
type Submission struct {
	ID      JobID
	Queue   Queue
	Account Account
	// Terms are the terms of the queue when the job was accepted; they apply
	// if the queue is removed.
	Terms  QueueTerms
	Spec   string
	Steps  []Step
	Repeat Repeat
}

// JobState is what a caller sees of a submitted job.
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

// TaskName names one task of a submitted job. Occurrence is 0 for a job that
// does not repeat.
type TaskName struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Run is one start of a task; the number grows with each start.
type Run struct {
	Task   TaskName
	Number uint64
}

// WorkerInfo is one worker of the fleet as it announces itself.
type WorkerInfo struct {
	Worker Worker
	// StartedAt is the start of this lifetime; a worker that starts again under its
	// name holds nothing of before.
	StartedAt time.Time
	Service   Service
	Address   netip.AddrPort
	Place     Place
	Rack      Rack
	Labels    []string
	Capacity  Resources
	// Draining workers take no new work and leave soon.
	Draining bool
}

// RunEnd says how a run ended.
type RunEnd string

// Ends of a run. A broken run ended with another member of its gang; an alone
// run waited in vain for the other members.
const (
	EndDone         RunEnd = "done"
	EndFailed       RunEnd = "failed"
	EndStopped      RunEnd = "stopped"
	EndLeaseExpired RunEnd = "lapsed"
	EndMemberFailed RunEnd = "broken"
	EndGangTimeout  RunEnd = "alone"
)

// ActiveRun is a run that a worker holds.
type ActiveRun struct {
	Run        Run
	Checkpoint string
	Percent    float64
	// Tail is the tail of the response times over the last half second, of a
	// task that serves users.
	Tail time.Duration
}

// EndedRun is a run that ended at a worker. Sequence numbers the ends of one
// lifetime from 1.
type EndedRun struct {
	Sequence   uint64
	Run        Run
	End        RunEnd
	Checkpoint string
}

// WorkerReport is the answer of a worker to a look at it.
type WorkerReport struct {
	StartedAt time.Time
	// Clock is the steady clock of the worker, counted from its own start.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
}
