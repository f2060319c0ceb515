// Package quarantiner takes workers out of service on which every job fails.
//
// A worker is judged by the outcomes of its tasks. A job that failed on several
// workers and succeeded on none counts as impossible, and its failures count
// against no worker. A worker that was quarantined because of such jobs only
// returns to service. Otherwise a quarantine ends in a probe: the next task
// decides whether the worker stays in service or is quarantined again for twice
// as long. At most a fifth of the workers of a place are in quarantine at once.
//
// # Usage
//
//	q := quarantiner.New()
//	q.SetWorkers(len(workers))
//	q.Report(quarantiner.Outcome{Worker: "w-1", Job: "j-1", Failed: true})
//	for _, change := range q.Advance(now) {
//		// pass the change to the planner
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
	// quarantineAfter is the number of jobs in a row that must fail on a worker
	// for it to be quarantined.
	quarantineAfter = 3
	// minQuarantine is the first quarantine of a worker. Each further one is
	// twice as long, up to maxQuarantine.
	minQuarantine = 30 * time.Second
	maxQuarantine = time.Hour
	// workersPerQuarantine limits the workers in quarantine at once: one in
	// five.
	workersPerQuarantine = 5
	// impossibleAfter is the number of workers on which a job must fail to
	// count as impossible. With two, both could be bad.
	impossibleAfter = 3
	// maxFailedJobs bounds the failed jobs kept for one worker.
	maxFailedJobs = 16
	// maxJobs bounds the jobs whose outcomes are kept.
	maxJobs = 4096
)

// Outcome is how one task ended.
type Outcome struct {
	Worker primrosespar.Worker
	Job    primrosespar.JobID
	Failed bool
}

// Change is the start or the end of a worker's quarantine.
type Change struct {
	Worker      primrosespar.Worker
	Quarantined bool
}

// Entry is one quarantine as it is stored. It holds the remaining time instead
// of a clock reading, so that a holder with another clock can restore it.
type Entry struct {
	Worker    primrosespar.Worker `json:"worker"`
	Remaining time.Duration       `json:"left"`
	Times     int                 `json:"times"`
}

// workerRecord is the history of one worker.
type workerRecord struct {
	name primrosespar.Worker
	// failedJobs holds the distinct jobs that failed since the last success.
	failedJobs  []primrosespar.JobID
	quarantined bool
	// probing is set from the end of a quarantine until the next success or
	// quarantine.
	probing bool
	// until is the end of the quarantine.
	until time.Time
	// quarantines counts the quarantines since the last successful probe,
	// except withdrawn ones.
	quarantines int
}

// jobRecord holds the outcomes of one job.
type jobRecord struct {
	// failedOn holds the first impossibleAfter workers on which the job failed.
	failedOn  []primrosespar.Worker
	succeeded bool
}

func (j *jobRecord) impossible() bool {
	return !j.succeeded && len(j.failedOn) >= impossibleAfter
}

// Quarantiner decides which workers of one place are in quarantine. It is not
// safe for concurrent use.
type Quarantiner struct {
	workers          map[primrosespar.Worker]*workerRecord
	jobs             *simplelru.LRU[primrosespar.JobID, *jobRecord]
	workerCount      int
	quarantinedCount int
}

// New returns a quarantiner without history.
func New() *Quarantiner {
	// NewLRU fails only for a size below one.
	jobs, _ := simplelru.NewLRU[primrosespar.JobID, *jobRecord](maxJobs, nil)
	return &Quarantiner{workers: map[primrosespar.Worker]*workerRecord{}, jobs: jobs}
}

// SetWorkers sets the number of workers of the place.
func (q *Quarantiner) SetWorkers(total int) {
	q.workerCount = total
}

// recordOf returns the record of the worker and creates it on first use.
func (q *Quarantiner) recordOf(worker primrosespar.Worker) *workerRecord {
	rec := q.workers[worker]
	if rec == nil {
		rec = &workerRecord{name: worker}
		q.workers[worker] = rec
	}
	return rec
}

// Report records the outcome of a task.
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

// countBlamedJobs counts the worker's failed jobs that do not count as
// impossible.
func (q *Quarantiner) countBlamedJobs(rec *workerRecord) int {
	n := 0
	for _, id := range rec.failedJobs {
		if jobRec, ok := q.jobs.Peek(id); !ok || !jobRec.impossible() {
			n++
		}
	}
	return n
}

// FailedJobs returns the number of failed jobs that count against the worker.
func (q *Quarantiner) FailedJobs(worker primrosespar.Worker) int {
	if rec := q.workers[worker]; rec != nil {
		return q.countBlamedJobs(rec)
	}
	return 0
}

// Advance ends the quarantines that have expired or whose failed jobs now all
// count as impossible, starts those that are due, and returns the changes
// sorted by worker.
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

// Quarantined reports whether the worker is in quarantine.
func (q *Quarantiner) Quarantined(worker primrosespar.Worker) bool {
	rec := q.workers[worker]
	return rec != nil && rec.quarantined
}

// Probing reports whether the worker is back in service after a quarantine and
// its next task decides whether it stays.
func (q *Quarantiner) Probing(worker primrosespar.Worker) bool {
	rec := q.workers[worker]
	return rec != nil && rec.probing
}

// Entries returns the quarantines sorted by worker.
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

// Restore adds quarantines that an earlier holder of the place lease has
// stored.
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

// Forget deletes the record of a worker that left the place.
func (q *Quarantiner) Forget(worker primrosespar.Worker) {
	if q.Quarantined(worker) {
		q.quarantinedCount--
	}
	delete(q.workers, worker)
}
