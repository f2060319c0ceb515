// Package assessor estimates for each worker how surely and how fast it finishes
// what it gets. It does no I/O.
//
// # Usage
//
//	a := assessor.New()
//	a.Observe(worker.Address, assessor.Failed, 1, now)
//	a.ObservePace(worker.Address, took.Seconds()/usual.Seconds(), now)
//	if a.Assess(worker.Address, now).Unsure() {
//		// prefer other workers
//	}
//	a.Expire(now)
//
// Evidence fades, so that a worker which was set aside is tried again after a
// while: sooner after one failure than after several. Workers are known by their
// address, since a worker that crashes and starts again may change its name.
package assessor

import (
	"math"
	"net/netip"
	"time"
)

// Outcome is something that a worker did with a task.
type Outcome uint8

// Outcomes of orders and runs.
const (
	// Done is a run that was finished.
	Done Outcome = iota
	// Failed is a run that failed, through its own fault or the worker's.
	Failed
	// Refused is a start that the worker refused as unhealthy.
	Refused
	// Unanswered is a start that got no answer.
	Unanswered
	// Stalled is a run that made no progress.
	Stalled
	// Lapsed is a worker that could not be reached until the lease of its runs
	// expired.
	Lapsed
	// Crashed is a worker that went with its runs without notice.
	Crashed
)

const (
	// halfLife is the time in which evidence loses half of its weight.
	halfLife = 8 * time.Second
	// Without evidence, a worker is taken to finish priorShare of its runs, as if
	// priorWeight of them had been observed.
	priorShare  = 0.95
	priorWeight = 2
	// minSureness is the share of runs that a sure worker finishes.
	minSureness = 0.7
	// maxPace is how many times as long as others a worker may take that is not
	// slow. Runs of the same step may differ by half.
	maxPace = 2.5
	// paceWeight is the weight of one run in the pace of its worker.
	paceWeight = 0.5
	// minWeight is the weight below which evidence is dropped.
	minWeight = 0.02
)

// weight returns the weight of an outcome as evidence against the worker, 0 for
// one that speaks for it. One that cannot be the fault of a task weighs more.
func (o Outcome) weight() float64 {
	switch o {
	case Done:
		return 0
	case Unanswered:
		return 0.5
	case Refused, Crashed:
		return 2
	default:
		return 1
	}
}

// evidence is what was observed of one worker, as of the time at.
type evidence struct {
	at        time.Time
	good, bad float64
	// pace is the logarithm of how many times as long as usual its runs took.
	pace float64
}

// Assessor holds the evidence on all workers.
type Assessor struct {
	workers map[netip.AddrPort]evidence
}

// New returns an Assessor without evidence.
func New() *Assessor { return &Assessor{workers: map[netip.AddrPort]evidence{}} }

// Observe records an outcome. Share is the part of it that the worker may
// account for, at most 1.
func (a *Assessor) Observe(worker netip.AddrPort, outcome Outcome, share float64, now time.Time) {
	e := a.workers[worker].fade(now)
	if outcome == Done {
		e.good += share
	} else {
		e.bad += outcome.weight() * share
	}
	a.workers[worker] = e
}

// ObservePace records how many times as long as usual a run took.
func (a *Assessor) ObservePace(worker netip.AddrPort, ratio float64, now time.Time) {
	if ratio <= 0 || math.IsInf(ratio, 0) || math.IsNaN(ratio) {
		return
	}
	e := a.workers[worker].fade(now)
	e.pace += paceWeight * (math.Log(ratio) - e.pace)
	a.workers[worker] = e
}

// fade returns the evidence with the weight that it has now.
func (e evidence) fade(now time.Time) evidence {
	if !e.at.IsZero() {
		left := math.Exp2(-float64(max(0, now.Sub(e.at))) / float64(halfLife))
		e.good, e.bad, e.pace = e.good*left, e.bad*left, e.pace*left
	}
	e.at = now
	return e
}

// Assessment is the estimate for one worker.
type Assessment struct {
	// Sureness is the share of its runs that the worker finishes.
	Sureness float64
	// Pace is how many times as long as others it takes.
	Pace float64
	// Confidence is the part of the estimate that was observed of this worker,
	// from 0 to 1.
	Confidence float64
}

// Assess returns the estimate for the worker.
func (a *Assessor) Assess(worker netip.AddrPort, now time.Time) Assessment {
	e := a.workers[worker].fade(now)
	seen := e.good + e.bad
	return Assessment{
		Sureness:   (e.good + priorShare*priorWeight) / (seen + priorWeight),
		Pace:       math.Exp(e.pace),
		Confidence: seen / (seen + priorWeight),
	}
}

// Unsure reports whether other workers should be preferred.
func (a Assessment) Unsure() bool { return a.Sureness < minSureness || a.Pace > maxPace }

// Expire drops evidence that has lost its weight.
func (a *Assessor) Expire(now time.Time) {
	for worker, e := range a.workers {
		if e = e.fade(now); e.good+e.bad+math.Abs(e.pace) < minWeight {
			delete(a.workers, worker)
		}
	}
}
