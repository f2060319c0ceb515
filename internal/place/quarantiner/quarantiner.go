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
	// limit is the number of jobs that a worker may fail in a row.
	limit = 3
	// firstTime and longestTime bound a quarantine; it doubles each time.
	firstTime   = 30 * time.Second
	longestTime = time.Hour
	// share is the part of the workers that may be out at once: one in share.
	share = 5
	// everywhere is the number of workers on which a job must fail to be taken
	// for impossible. Two could both be bad.
	everywhere = 3
	// maxStreak bounds the failed jobs remembered for one worker.
	maxStreak = 16
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

type record struct {
	name primrosespar.Worker
	// streak are the distinct jobs failed since the last success.
	streak  []primrosespar.JobID
	out     bool
	probing bool
	until   time.Time
	times   int
}

// evidence is how one job fared on the workers.
type evidence struct {
	// failed are the first workers on which the job failed.
	failed    []primrosespar.Worker
	succeeded bool
}

func (e *evidence) impossible() bool {
	return !e.succeeded && len(e.failed) >= everywhere
}

// Quarantiner judges the workers of one place. It is not safe for concurrent
// use.
type Quarantiner struct {
	workers map[primrosespar.Worker]*record
	jobs    *simplelru.LRU[primrosespar.JobID, *evidence]
	total   int
	out     int
}

// New returns a quarantiner without history.
func New() *Quarantiner {
	// The only error of NewLRU is a size below one.
	jobs, _ := simplelru.NewLRU[primrosespar.JobID, *evidence](maxJobs, nil)
	return &Quarantiner{workers: map[primrosespar.Worker]*record{}, jobs: jobs}
}

// SetWorkers sets the number of workers of the place.
func (q *Quarantiner) SetWorkers(total int) {
	q.total = total
}

func (q *Quarantiner) of(worker primrosespar.Worker) *record {
	r := q.workers[worker]
	if r == nil {
		r = &record{name: worker}
		q.workers[worker] = r
	}
	return r
}

// Report takes the outcome of a task.
func (q *Quarantiner) Report(o Outcome) {
	r := q.of(o.Worker)
	e, ok := q.jobs.Get(o.Job)
	if !ok {
		e = &evidence{}
		q.jobs.Add(o.Job, e)
	}
	if !o.Failed {
		e.succeeded = true
		r.streak = nil
		if r.probing {
			r.probing, r.times = false, 0
		}
		return
	}
	if len(e.failed) < everywhere && !slices.Contains(e.failed, o.Worker) {
		e.failed = append(e.failed, o.Worker)
	}
	if !slices.Contains(r.streak, o.Job) {
		r.streak = append(r.streak, o.Job)
		if len(r.streak) > maxStreak {
			r.streak = r.streak[1:]
		}
	}
}

// blame counts the failed jobs that are not known to be impossible.
func (q *Quarantiner) blame(r *record) int {
	n := 0
	for _, id := range r.streak {
		if e, ok := q.jobs.Peek(id); !ok || !e.impossible() {
			n++
		}
	}
	return n
}

// FailedJobs counts the jobs that speak against the worker.
func (q *Quarantiner) FailedJobs(worker primrosespar.Worker) int {
	if r := q.workers[worker]; r != nil {
		return q.blame(r)
	}
	return 0
}

// Advance ends quarantines that are over, starts those that are due and
// returns the changes in order of the workers' names.
func (q *Quarantiner) Advance(now time.Time) []Change {
	var changes []Change
	var due []*record
	for _, r := range q.workers {
		switch {
		case r.out && len(r.streak) > 0 && q.blame(r) == 0:
			r.out, r.streak = false, nil
			r.times--
			q.out--
			changes = append(changes, Change{r.name, false})
		case r.out && !now.Before(r.until):
			r.out, r.probing = false, true
			r.streak = nil
			q.out--
			changes = append(changes, Change{r.name, false})
		case !r.out && (q.blame(r) >= limit || r.probing && q.blame(r) > 0):
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int {
		return cmp.Or(cmp.Compare(q.blame(b), q.blame(a)), cmp.Compare(a.name, b.name))
	})
	for _, r := range due {
		if q.out >= q.total/share {
			break
		}
		r.out, r.probing = true, false
		r.until = now.Add(min(firstTime<<min(r.times, 16), longestTime))
		r.times++
		q.out++
		changes = append(changes, Change{r.name, true})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes
}

// Quarantined reports whether the worker is out of service.
func (q *Quarantiner) Quarantined(worker primrosespar.Worker) bool {
	r := q.workers[worker]
	return r != nil && r.out
}

// Probing reports whether the next task of the worker decides on its return.
func (q *Quarantiner) Probing(worker primrosespar.Worker) bool {
	r := q.workers[worker]
	return r != nil && r.probing
}

// Entries returns the quarantines in order of the workers' names.
func (q *Quarantiner) Entries(now time.Time) []Entry {
	var out []Entry
	for _, r := range q.workers {
		if r.out {
			out = append(out, Entry{r.name, max(r.until.Sub(now), 0), r.times})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// Restore takes over quarantines from an earlier holder of the place.
func (q *Quarantiner) Restore(entries []Entry, now time.Time) {
	for _, e := range entries {
		r := q.of(e.Worker)
		if !r.out {
			q.out++
		}
		r.out, r.times = true, e.Times
		r.until = now.Add(min(e.Remaining, longestTime))
	}
}

// Forget drops the history of a worker that left the place.
func (q *Quarantiner) Forget(worker primrosespar.Worker) {
	if q.Quarantined(worker) {
		q.out--
	}
	delete(q.workers, worker)
}
