// Package ranker orders the steps that wait for room.
//
// It answers a queue that is longer than the fleet can start at once, where
// whatever waits longer costs its callers something: a burst of urgent work, a
// queue of large jobs before small ones, jobs that have to start over after
// their workers were lost.
//
// A job has its full value until its objective, part of it until three times
// the objective, and none after that. While it can still wait without a loss it
// gives way; the closer the moment from which it would lose, the earlier it
// comes. What is lost is compared by the room that the step needs and how long
// it holds it, so that the same room serves as many callers as possible. An account
// or a queue that uses more than its share counts less, and waiting adds to the
// position without end, so no class, account or size starves.
//
// Urgent work within the guarantee of its account comes first, by deadline, then
// other urgent work. The thresholds are those of callers: the objective of the
// queue and the estimates of the job.
//
// # Usage
//
//	r := ranker.New(ranker.DefaultPriorityRatio)
//	position := r.Rank(work, now)
//	slices.SortStableFunc(waiting, func(a, b entry) int {
//		return a.position.Compare(b.position)
//	})
package ranker

import (
	"cmp"
	"math"
	"time"
)

const (
	// DefaultPriorityRatio is how much more a job counts than one of the next
	// lower priority. Priorities say only which work comes first, so it is small
	// enough that a job about to lose its value comes before one of the next
	// higher priority that can wait.
	DefaultPriorityRatio = 2.0
	// maxPriority is the lowest priority that is told from those below it.
	maxPriority = 32
	// worthlessFactor times its objective is the last time at which a job has
	// any value.
	worthlessFactor = 3
	// lateShare is the share of its value that a job keeps after its objective.
	lateShare = 0.5
	// agingShare of its value is what a step gains in the order once it has waited
	// for its objective; it grows with the square of the wait. After its job has
	// lost its value the step gains lostAgingShare for each further objective.
	agingShare     = 0.1
	lostAgingShare = 0.01
	// queueWeight is how much the use of a queue counts beside that of an account:
	// a class may use more than others, for its priority.
	queueWeight = 0.5
	// A step is due once its slack is less than its remaining duration, and at
	// least minMargin: runs take longer than estimated, and a gang has to be placed
	// and gathered.
	minMargin = 2 * time.Second
)

// band is the coarse part of a position; lower bands come first.
type band uint8

const (
	guaranteedBand band = iota
	urgentBand
	normalBand
)

// Work is a waiting step, as far as its position depends on it.
type Work struct {
	// Priority is that of its queue; 0 is urgent.
	Priority int
	// Guaranteed is set if it fits into the guarantee of its account.
	Guaranteed bool
	// Since is when its job arrived or was due.
	Since time.Time
	// Objective is the time in which its job should end.
	Objective time.Duration
	// Remaining is the estimated duration of the longest chain of steps that
	// begins with it.
	Remaining time.Duration
	// Room is what its waiting tasks will hold, in core-seconds.
	Room float64
	// AccountUse is what its account uses, relative to what it is entitled to, and
	// QueueUse what its queue uses, relative to an equal share.
	AccountUse float64
	QueueUse   float64
	// LongRunning steps have value whenever they run, however late they started.
	LongRunning bool
}

// Position is the place of a step in the order.
type Position struct {
	band band
	loss float64
	// Deadline is when the job is late.
	Deadline time.Time
	// OnTime is set while the job can still meet its objective.
	OnTime bool
	// Slack is how long the step can wait before its job is late or, if it is
	// late already, has no value. It is negative if the job has no value.
	Slack time.Duration
	// Due is set if the job is late or nearly so, and has not lost its value.
	Due bool
}

// Ranker derives positions.
type Ranker struct {
	priorityRatio float64
}

// New returns a Ranker. A job counts priorityRatio times as much as one of the
// next lower priority.
func New(priorityRatio float64) *Ranker {
	return &Ranker{priorityRatio: priorityRatio}
}

// Rank returns the position of a step.
func (r *Ranker) Rank(w Work, now time.Time) Position {
	p := Position{band: normalBand, Deadline: w.Since.Add(w.Objective)}
	end := now.Add(w.Remaining)
	untilLate := p.Deadline.Sub(end)
	untilWorthless := w.Since.Add(worthlessFactor * w.Objective).Sub(end)
	p.OnTime = untilLate >= 0 || w.LongRunning
	p.Slack = untilLate
	if untilLate < 0 {
		p.Slack = untilWorthless
	}
	p.Due = !w.LongRunning && untilWorthless >= 0 && untilLate <= max(minMargin, w.Remaining)
	if w.Priority == 0 && (w.LongRunning || untilWorthless >= 0) {
		p.band = urgentBand
		if w.Guaranteed {
			p.band = guaranteedBand
		}
	}
	if p.band != guaranteedBand {
		p.loss = r.loss(w, untilLate, untilWorthless, now)
	}
	return p
}

// loss returns what is lost if the step waits, by the room that it needs.
func (r *Ranker) loss(w Work, untilLate, untilWorthless time.Duration, now time.Time) float64 {
	share := 1.0
	if !w.LongRunning {
		share = (1-lateShare)*imminence(untilLate, w.Remaining) + lateShare*imminence(untilWorthless, w.Remaining)
	}
	share += aging(now.Sub(w.Since).Seconds()/max(1, w.Objective.Seconds()), untilWorthless < 0 && !w.LongRunning)
	value := share
	for range min(w.Priority, maxPriority) {
		value /= r.priorityRatio
	}
	// A larger job is worth more to its caller than a small one, but less than in
	// proportion to its room.
	return value / (math.Sqrt(max(1, w.Room)) * (1 + w.AccountUse) * (1 + queueWeight*w.QueueUse))
}

// aging returns what a step gains by having waited for a number of objectives.
func aging(objectives float64, lost bool) float64 {
	waited := max(0, objectives)
	if lost {
		return lostAgingShare * waited
	}
	return agingShare * waited * waited
}

// imminence returns how close a loss is, from 1 for now to 0 for never. Work is
// placed after about as long as running work takes to end, so it falls with the
// duration of the step.
func imminence(until, duration time.Duration) float64 {
	if until < 0 {
		return 0
	}
	return math.Exp(-until.Seconds() / max(1, duration.Seconds()))
}

// Compare returns a negative number if p comes before q.
func (p Position) Compare(q Position) int {
	byBand := cmp.Compare(p.band, q.band)
	if byBand != 0 || p.band == guaranteedBand {
		return cmp.Or(byBand, p.Deadline.Compare(q.Deadline))
	}
	return cmp.Or(cmp.Compare(q.loss, p.loss), p.Deadline.Compare(q.Deadline))
}
