// Package quarantiner takes workers out of service that fail everything.
//
// A worker is judged by the outcomes of its tasks. Failures of a job that failed
// on several workers and succeeded on none are the job's own and count against
// no worker, also if a worker is already out because of them. A quarantine ends in a probe: the next task decides whether the
// worker returns or is kept out for twice as long. At most a fifth of a
// place's workers are out at once.
//
// # Usage
//
//	q := quarantiner.New()
//	q.SetWorkers(len(workers))
//	q.Report(quarantiner.Outcome{Worker: "w-1", Job: "j-1", Failed: true})
//	for _, change := range q.Advance(now) {
//		// tell the planner
//	}
package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"primrosespar.example/primrosespar"
)

const (
	// quarantineAfter is the number of jobs that a worker may fail in a row.
	quarantineAfter = 3
	// minQuarantine and longestTime bound a quarantine; it doubles each time.
	minQuarantine = 30 * time.Second
	maxQuarantine = time.Hour
	// workersPerQuarantine is the part of the workers that may be out at once: one in share.
	workersPerQuarantine = 5
	// impossibleAfter is the number of workers on which a job must fail to be taken
	// for impossible. Two could both be bad.
	impossibleAfter = 3
	// maxFailedJobs bounds the failed jobs remembered for one worker.
	maxFailedJobs = 16
	// maxJobs bounds the jobs whose failures are remembered.
	maxJobs = 4096
)

// Outcome is how one task ended.
type Outcome struct {
	Worker primrosespar.Worker
	Job    primrosespar.JobID
	Failed bool
}

// Change says that a worker left or returned to service.
type Change struct {
	Worker      primrosespar.Worker
	Quarantined bool
}

// Entry is one quarantine as it is stored; it carries no clock reading.
type Entry struct {
	Worker    primrosespar.Worker `json:"worker"`
	Remaining time.Duration       `json:"left"`
	Times     int                 `json:"times"`
}

type workerRecord struct {
	name primrosespar.Worker
	// failedJobs are the distinct jobs failed since the last success.
	failedJobs  []primrosespar.JobID
	quarantined bool
	probing     bool
	until       time.Time
	quarantines int
}

// jobRecord is how one job fared on the workers.
type jobRecord struct {
	// failedOn are the first workers on which the job failed.
	failedOn  []primrosespar.Worker
	succeeded bool
}

func (j *jobRecord) impossible() bool {
	return !j.succeeded && len(j.failedOn) >= impossibleAfter
}

// Quarantiner judges the workers of one place. It is not safe for concurrent
// use.
type Quarantiner struct {
	workers          map[primrosespar.Worker]*workerRecord
	jobs             *simplelru.LRU[primrosespar.JobID, *jobRecord]
	workerCount      int
	quarantinedCount int
}

// New returns a quarantiner without history.
func New() *Quarantiner {
	// The only error of NewLRU is a size below one.
	jobs, _ := simplelru.NewLRU[primrosespar.JobID, *jobRecord](maxJobs, nil)
	return &Quarantiner{workers: map[primrosespar.Worker]*workerRecord{}, jobs: jobs}
}

// SetWorkers sets the number of workers of the place.
func (q *Quarantiner) SetWorkers(total int) {
	q.workerCount = total
}

func (q *Quarantiner) recordOf(worker primrosespar.Worker) *workerRecord {
	rec := q.workers[worker]
	if rec == nil {
		rec = &workerRecord{name: worker}
		q.workers[worker] = rec
	}
	return rec
}

// Report takes the outcome of a task.
func (q *Quarantiner) Report(outcome Outcome) {
	rec := q.recordOf(outcome.Worker)
	jobRec, ok := q.jobs.Get(outcome.Job)
	if !ok {
		jobRec = &jobRecord{}
		q.jobs.Add(outcome.Job, jobRec)
	}
	if !outcome.Failed {
		jobRec.succeeded = true
		rec.failedJobs = nil
		if rec.probing {
			rec.probing, rec.quarantines = false, 0
		}
		return
	}
	if len(jobRec.failedOn) < impossibleAfter && !slices.Contains(jobRec.failedOn, outcome.Worker) {
		jobRec.failedOn = append(jobRec.failedOn, outcome.Worker)
	}
	if !slices.Contains(rec.failedJobs, outcome.Job) {
		rec.failedJobs = append(rec.failedJobs, outcome.Job)
		if len(rec.failedJobs) > maxFailedJobs {
			rec.failedJobs = rec.failedJobs[1:]
		}
	}
}

// countBlamedJobs counts the failed jobs that are not known to be impossible.
func (q *Quarantiner) countBlamedJobs(rec *workerRecord) int {
	n := 0
	for _, id := range rec.failedJobs {
		if jobRec, ok := q.jobs.Peek(id); !ok || !jobRec.impossible() {
			n++
		}
	}
	return n
}

// FailedJobs counts the jobs that speak against the worker.
func (q *Quarantiner) FailedJobs(worker primrosespar.Worker) int {
	if rec := q.workers[worker]; rec != nil {
		return q.countBlamedJobs(rec)
	}
	return 0
}

// Advance ends quarantines that are over, starts those that are due and
// returns the changes in order of the workers' names.
func (q *Quarantiner) Advance(now time.Time) []Change {
	var changes []Change
	var due []*workerRecord
	for _, rec := range q.workers {
		switch {
		case rec.quarantined && len(rec.failedJobs) > 0 && q.countBlamedJobs(rec) == 0:
			rec.quarantined, rec.failedJobs = false, nil
			rec.quarantines--
			q.quarantinedCount--
			changes = append(changes, Change{rec.name, false})
		case rec.quarantined && !now.Before(rec.until):
			rec.quarantined, rec.probing = false, true
			rec.failedJobs = nil
			q.quarantinedCount--
			changes = append(changes, Change{rec.name, false})
		case !rec.quarantined && (q.countBlamedJobs(rec) >= quarantineAfter || rec.probing && q.countBlamedJobs(rec) > 0):
			due = append(due, rec)
		}
	}
	slices.SortFunc(due, func(a, b *workerRecord) int {
		return cmp.Or(cmp.Compare(q.countBlamedJobs(b), q.countBlamedJobs(a)), cmp.Compare(a.name, b.name))
	})
	for _, rec := range due {
		if q.quarantinedCount >= q.workerCount/workersPerQuarantine {
			break
		}
		rec.quarantined, rec.probing = true, false
		rec.until = now.Add(min(minQuarantine<<min(rec.quarantines, 16), maxQuarantine))
		rec.quarantines++
		q.quarantinedCount++
		changes = append(changes, Change{rec.name, true})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes
}

// Quarantined reports whether the worker is out of service.
func (q *Quarantiner) Quarantined(worker primrosespar.Worker) bool {
	rec := q.workers[worker]
	return rec != nil && rec.quarantined
}

// Probing reports whether the next task of the worker decides on its return.
func (q *Quarantiner) Probing(worker primrosespar.Worker) bool {
	rec := q.workers[worker]
	return rec != nil && rec.probing
}

// Entries returns the quarantines in order of the workers' names.
func (q *Quarantiner) Entries(now time.Time) []Entry {
	var out []Entry
	for _, rec := range q.workers {
		if rec.quarantined {
			out = append(out, Entry{rec.name, max(rec.until.Sub(now), 0), rec.quarantines})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// Restore takes over quarantines from an earlier holder of the place.
func (q *Quarantiner) Restore(entries []Entry, now time.Time) {
	for _, e := range entries {
		rec := q.recordOf(e.Worker)
		if !rec.quarantined {
			q.quarantinedCount++
		}
		rec.quarantined, rec.quarantines = true, e.Times
		rec.until = now.Add(min(e.Remaining, maxQuarantine))
	}
}

// Forget drops the history of a worker that left the place.
func (q *Quarantiner) Forget(worker primrosespar.Worker) {
	if q.Quarantined(worker) {
		q.quarantinedCount--
	}
	delete(q.workers, worker)
}
