package simulator

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// lateWorth is the share of its worth that a late job earns.
const lateWorth = 0.3

// Result is how one seed was served.
type Result struct {
	Policy  string
	Workers int
	Seed    uint64
	Jobs    int
	// Waits are the times from acceptance to the first start, sorted; jobs that
	// never started are left out and counted.
	Waits   map[primrosespar.Queue][]time.Duration
	Waiting int
	// EarnedShare is the share of what the jobs are worth that was earned.
	EarnedShare float64
	// Fragmentation is the mean share of the free accelerators that are on
	// workers in use.
	Fragmentation float64
	// Lost are core-seconds of work that was stopped or failed without being
	// saved, for each job.
	Lost float64
}

// Wait returns a quantile of the waits of a queue.
func (r Result) Wait(queue primrosespar.Queue, quantile float64) time.Duration {
	waits := r.Waits[queue]
	if len(waits) == 0 {
		return 0
	}
	return waits[int(quantile*float64(len(waits)-1))]
}

// meter gathers what a run shows.
type meter struct {
	lost       float64
	fragments  float64
	samples    int
	sinceTaken int
}

// sampleEvery is the number of steps between two samples.
const sampleEvery = 25

// sample looks at the free accelerators.
func (m *meter) sample(workers []*worker) {
	if m.sinceTaken++; m.sinceTaken < sampleEvery {
		return
	}
	m.sinceTaken = 0
	free, split := 0, 0
	for _, w := range workers {
		left := accelerators
		for _, r := range w.runs {
			left -= r.need
		}
		free += left
		if left < accelerators {
			split += left
		}
	}
	if free > 0 {
		m.fragments += float64(split) / float64(free)
		m.samples++
	}
}

// lose counts the work of a run that did not end well.
func (m *meter) lose(j *job, worked time.Duration) {
	need := j.sub.Steps[0].Need
	if j.kind.saves {
		worked = min(worked, time.Second)
	}
	m.lost += worked.Seconds() * (float64(need.Millicores)/1000 + acceleratorCores*float64(need.Accelerators))
}

// result sums the run up.
func (m *meter) result(jobs map[primrosespar.JobID]*job, o Options) Result {
	r := Result{Policy: o.Policy.Name, Workers: o.Workers, Seed: o.Seed, Jobs: len(jobs), Waits: map[primrosespar.Queue][]time.Duration{}}
	earned, owed := 0.0, 0.0
	for _, j := range jobs {
		owed += j.kind.worth
		if j.startedAt.IsZero() {
			r.Waiting++
		} else {
			r.Waits[j.kind.queue] = append(r.Waits[j.kind.queue], j.startedAt.Sub(j.arrived))
		}
		if j.doneAt.IsZero() {
			continue
		}
		switch took := j.doneAt.Sub(j.arrived); {
		case took <= j.objective():
			earned += j.kind.worth
		case took <= lateFactor*j.objective():
			earned += lateWorth * j.kind.worth
		}
	}
	for _, waits := range r.Waits {
		slices.Sort(waits)
	}
	if owed > 0 {
		r.EarnedShare, r.Lost = earned/owed, m.lost/float64(len(jobs))
	}
	if m.samples > 0 {
		r.Fragmentation = m.fragments / float64(m.samples)
	}
	return r
}
