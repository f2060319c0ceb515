package simulator

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// lateValueShare is the share of its worth that a late job earns.
const lateValueShare = 0.3

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

// metrics gathers what a run shows.
type metrics struct {
	lostCoreSeconds  float64
	fragmentationSum float64
	samples          int
	stepsSinceSample int
}

// stepsPerSample is the number of steps between two samples.
const stepsPerSample = 25

// sample looks at the free accelerators.
func (m *metrics) sample(workers []*worker) {
	if m.stepsSinceSample++; m.stepsSinceSample < stepsPerSample {
		return
	}
	m.stepsSinceSample = 0
	free, freeOnBusy := 0, 0
	for _, w := range workers {
		workerFree := acceleratorsPerWorker
		for _, r := range w.runs {
			workerFree -= r.accelerators
		}
		free += workerFree
		if workerFree < acceleratorsPerWorker {
			freeOnBusy += workerFree
		}
	}
	if free > 0 {
		m.fragmentationSum += float64(freeOnBusy) / float64(free)
		m.samples++
	}
}

// addLostWork counts the work of a run that did not end well.
func (m *metrics) addLostWork(j *job, lostTime time.Duration) {
	need := j.submission.Steps[0].Need
	if j.kind.checkpoints {
		lostTime = min(lostTime, time.Second)
	}
	m.lostCoreSeconds += lostTime.Seconds() * (float64(need.Millicores)/1000 + acceleratorCores*float64(need.Accelerators))
}

// result sums the run up.
func (m *metrics) result(jobs map[primrosespar.JobID]*job, options Options) Result {
	r := Result{Policy: options.Policy.Name, Workers: options.Workers, Seed: options.Seed, Jobs: len(jobs), Waits: map[primrosespar.Queue][]time.Duration{}}
	earnedValue, totalValue := 0.0, 0.0
	for _, j := range jobs {
		totalValue += j.kind.value
		if j.startedAt.IsZero() {
			r.Waiting++
		} else {
			r.Waits[j.kind.queue] = append(r.Waits[j.kind.queue], j.startedAt.Sub(j.arrivedAt))
		}
		if j.completedAt.IsZero() {
			continue
		}
		switch completionTime := j.completedAt.Sub(j.arrivedAt); {
		case completionTime <= j.objective():
			earnedValue += j.kind.value
		case completionTime <= lateFactor*j.objective():
			earnedValue += lateValueShare * j.kind.value
		}
	}
	for _, waits := range r.Waits {
		slices.Sort(waits)
	}
	if totalValue > 0 {
		r.EarnedShare, r.Lost = earnedValue/totalValue, m.lostCoreSeconds/float64(len(jobs))
	}
	if m.samples > 0 {
		r.Fragmentation = m.fragmentationSum / float64(m.samples)
	}
	return r
}
