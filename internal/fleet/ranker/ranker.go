// Package ranker orders the steps that wait for room.
//
// It answers a queue of jobs of several priorities that is longer than the
// fleet can start at once: jobs that can still meet their objective come first,
// by deadline, then jobs that are late, then jobs that would end after the last
// time at which they have any value to their caller. An urgent job that is late
// still comes before work that is not urgent.
//
// # Usage
//
//	position := ranker.Position(work, now)
//	slices.SortStableFunc(waiting, func(a, b entry) int {
//		return a.position.Compare(b.position)
//	})
package ranker

import (
	"cmp"
	"time"
)

// WorthlessFactor times its objective is the last time at which a job has any
// value.
const WorthlessFactor = 3

// Ranks order the waiting steps; the priority of the queue is added to them.
const (
	rankLateUrgent = 1
	rankNormal     = 2
	rankLate       = 100
	rankWorthless  = 200
)

// Work is a waiting step, as far as its position depends on it.
type Work struct {
	// Priority is that of its queue; 0 is the highest.
	Priority int
	// Since is when its job arrived or was due.
	Since time.Time
	// Objective is the time in which its job should end.
	Objective time.Duration
	// Remaining is the estimated duration of the longest chain of steps that
	// begins with it.
	Remaining time.Duration
	// LongRunning steps have value whenever they run, however late they started.
	LongRunning bool
}

// Position is the place of a step in the order.
type Position struct {
	// Rank comes first in the order, Deadline second.
	Rank     int
	Deadline time.Time
	// OnTime is set while the job can still meet its objective.
	OnTime bool
}

// Rank returns the position of a step.
func Rank(w Work, now time.Time) Position {
	p := Position{Rank: w.Priority, Deadline: w.Since.Add(w.Objective)}
	if w.Priority > 0 {
		p.Rank += rankNormal
	}
	end := now.Add(w.Remaining)
	p.OnTime = !end.After(p.Deadline)
	switch {
	case w.LongRunning:
		p.OnTime = true
	case end.After(w.Since.Add(WorthlessFactor * w.Objective)):
		p.Rank += rankWorthless
	case !p.OnTime && w.Priority == 0:
		p.Rank = rankLateUrgent
	case !p.OnTime:
		p.Rank += rankLate
	}
	return p
}

// Compare returns a negative number if p comes before q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Rank, q.Rank), p.Deadline.Compare(q.Deadline))
}
