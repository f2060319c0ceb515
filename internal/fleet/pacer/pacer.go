// Package pacer judges from the reports on a run whether it stands still, and how
// long it still takes.
//
// Workers report progress in whole percents, and a percent of a long task takes
// minutes. A run stands still when its percent has not changed for a multiple of
// the time that a percent should take: by the pace at which the run was seen to
// work or, before that is known, by the estimate of its task. A run that used a
// processor and does not any more is not merely slow, so less is enough. A
// changed checkpoint is progress, too.
//
// # Usage
//
//	p := pacer.New(estimate, startedAt)
//	p.Observe(active, now) // for each report
//	left, known := p.LeastRemaining(startedAt, now)
//	if p.Stalled(gatheredAt, now, patience) {
//		// stop the run
//	}
package pacer

import (
	"time"

	"primrosespar.example/primrosespar"
)

const (
	// minLimit is the shortest time without progress after which a run stands
	// still. Tasks report progress at each poll, at most 2 s apart.
	minLimit = 2500 * time.Millisecond
	// unobserved is the part of a limit that reports need not cover, so that at
	// least one further poll lists the run without progress.
	unobserved = time.Second
	// percents is the progress of a whole task.
	percents = 100
	// estimateFactor times the estimate is how long a task may take whose pace
	// is not known. Away from their data tasks take three times as long, on slow
	// workers four times and more.
	estimateFactor = 12
	// paceFactor is how much slower than before a run may become. Slow workers
	// take up to eight times as long.
	paceFactor = 10
	// idleFactor applies to a run that uses no processor any more.
	idleFactor = 3
	// minObserved is how long a run has to be observed before its end can be
	// estimated.
	minObserved = 500 * time.Millisecond
	// unknownEstimate is assumed of tasks without an estimate.
	unknownEstimate = 10 * time.Minute
	// maxPatience bounds the doublings of the limit.
	maxPatience = 10
)

// Pacer holds what was observed of one run.
type Pacer struct {
	estimate   time.Duration
	percent    float64
	checkpoint string
	// progressAt is when progress was last observed, observedAt when the run was
	// last reported.
	progressAt time.Time
	observedAt time.Time
	// firstAt and firstPercent are those of the first report.
	firstAt      time.Time
	firstPercent float64
	// The pace is measured between changes of the percent, since the first
	// percent that is observed may be almost over. measuredAt and
	// measuredPercent are those of the first change, changedAt that of the last.
	measuredAt      time.Time
	measuredPercent float64
	changedAt       time.Time
	// pace is the time of a percent, 0 if it is not known.
	pace time.Duration
	// busy is set once the run used a processor. idleSince is since when it does
	// not any more.
	busy      bool
	idleSince time.Time
}

// New returns a Pacer for a run that began to work at the given time.
func New(estimate time.Duration, at time.Time) Pacer {
	if estimate <= 0 {
		estimate = unknownEstimate
	}
	return Pacer{estimate: estimate, progressAt: at}
}

// Restart forgets the pace of a run that works at another speed from now on.
func (p *Pacer) Restart(at time.Time) {
	p.progressAt, p.measuredAt, p.changedAt, p.pace, p.idleSince = at, time.Time{}, time.Time{}, 0, time.Time{}
}

// Observe records a report on the run.
func (p *Pacer) Observe(active primrosespar.ActiveRun, at time.Time) {
	first := p.observedAt.IsZero()
	p.observedAt = at
	if first {
		p.firstAt, p.firstPercent = at, active.Percent
	}
	if active.Checkpoint != p.checkpoint {
		p.checkpoint, p.progressAt = active.Checkpoint, at
	}
	// For tasks that do not serve users the platform reports the use of
	// processors in place of the tail latency.
	switch {
	case active.Tail > 0:
		p.busy, p.idleSince = true, time.Time{}
	case p.busy && p.idleSince.IsZero():
		p.idleSince = at
	}
	if active.Percent == p.percent {
		return
	}
	if !first {
		p.measure(active.Percent, at)
	}
	p.percent, p.progressAt = active.Percent, at
}

// measure updates the pace at a change of the percent.
func (p *Pacer) measure(percent float64, at time.Time) {
	if p.measuredAt.IsZero() || percent < p.percent {
		p.measuredAt, p.measuredPercent, p.changedAt, p.pace = at, percent, at, 0
		return
	}
	mean := float64(at.Sub(p.measuredAt)) / (percent - p.measuredPercent)
	last := float64(at.Sub(p.changedAt)) / (percent - p.percent)
	p.pace, p.changedAt = time.Duration(max(mean, last)), at
}

// Stalled reports whether the run has stood still since progress was observed,
// or since the given time if that is later. Each step of patience doubles the
// time that it may take.
func (p *Pacer) Stalled(since, now time.Time, patience int) bool {
	since = latest(since, p.progressAt)
	percent, factor := p.pace, paceFactor
	if percent == 0 {
		percent, factor = p.estimate/percents, estimateFactor
	}
	if p.exceeds(since, now, percent*time.Duration(factor), patience) {
		return true
	}
	return !p.idleSince.IsZero() && p.exceeds(latest(since, p.idleSince), now, percent*idleFactor, patience)
}

// exceeds reports whether reports cover more than the limit.
func (p *Pacer) exceeds(since, now time.Time, limit time.Duration, patience int) bool {
	limit = max(limit, minLimit) << min(max(patience, 0), maxPatience)
	return now.Sub(since) > limit && p.observedAt.Sub(since) > limit-unobserved
}

// LeastRemaining returns the least time that the run still takes if it goes on at
// its pace so far. If it began to work from nothing at startedAt, that time counts
// from there, else from the first report; startedAt is then zero. It returns
// false while too little was observed.
func (p *Pacer) LeastRemaining(startedAt, now time.Time) (time.Duration, bool) {
	from, percent := startedAt, 0.0
	if from.IsZero() {
		from, percent = p.firstAt, p.firstPercent
	}
	worked := p.observedAt.Sub(from)
	if p.observedAt.IsZero() || worked < minObserved {
		return 0, false
	}
	// The next percent may be almost reached.
	advanced := p.percent + 1 - percent
	if advanced <= 0 {
		return 0, false
	}
	fastest := float64(worked) / advanced
	left := time.Duration(fastest * max(0, percents-1-p.percent))
	return left - now.Sub(p.observedAt), true
}

// Proven reports whether the run has worked where it is, so that the worker is
// likely to be at fault if it stands still. Otherwise its estimate may be wrong.
func (p *Pacer) Proven() bool { return p.pace > 0 || !p.idleSince.IsZero() }

// latest returns the later time.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
