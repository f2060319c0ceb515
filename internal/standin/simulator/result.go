package simulator

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// lateValueShare is the share of its value that a late job earns.
const lateValueShare = 0.3

// Result is the outcome of one simulation.
type Result struct {
	Policy  string
	Workers int
	Seed    uint64
	Jobs    int
	// Waits holds the times from the arrival of a job to its first start,
	// sorted, without the jobs that never started. Waiting is the number of
	// those.
	Waits   map[primrosespar.Queue][]time.Duration
	Waiting int
	// EarnedShare is the earned share of the value of all jobs.
	EarnedShare float64
	// Fragmentation is the mean share of the free accelerators that are on a
	// worker with some accelerators in use.
	Fragmentation float64
	// Lost is the mean lost work per job in core-seconds: the work of runs that
	// failed or were stopped before a checkpoint saved it.
	Lost float64
}

// Wait returns the quantile, 0 to 1, of the waits of the queue.
func (r Result) Wait(queue primrosespar.Queue, quantile float64) time.Duration {
	waits := r.Waits[queue]
	if len(waits) == 0 {
		return 0
	}
	return waits[int(quantile*float64(len(waits)-1))]
}

// metrics collects measurements during a simulation.
type metrics struct {
	lostCoreSeconds  float64
	fragmentationSum float64
	samples          int
	stepsSinceSample int
}

// stepsPerSample is the number of simulation steps per sample.
const stepsPerSample = 25

// sample measures the fragmentation on every stepsPerSample-th call.
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

// addLostWork counts the work of a run of the given length that failed or was
// stopped. A job that takes checkpoints loses at most one second of it.
func (m *metrics) addLostWork(j *job, lostTime time.Duration) {
	need := j.submission.Steps[0].Need
	if j.kind.checkpoints {
		lostTime = min(lostTime, time.Second)
	}
	m.lostCoreSeconds += lostTime.Seconds() * (float64(need.Millicores)/1000 + acceleratorCores*float64(need.Accelerators))
}

// result computes the Result from the jobs and the measurements.
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
