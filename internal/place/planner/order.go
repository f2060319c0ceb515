package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// defaultDeadline orders jobs that neither declare a deadline nor have one in
// the terms of their class.
const defaultDeadline = 24 * time.Hour

// dueTime is the arrival plus the deadline divided by the root of the class's
// cost of lateness: of two jobs with one deadline the costlier goes first, and
// a cheap one still moves up with the time it has waited.
func dueTime(job primrosespar.Job, terms primrosespar.ClassTerms, now time.Time) time.Time {
	deadline := cmp.Or(job.Deadline, terms.Deadline, defaultDeadline)
	cost := float64(max(terms.LatenessCost, 1))
	return now.Add(time.Duration(float64(deadline) / math.Sqrt(cost)))
}

// orderByShare orders the gangs to try: claims, urgent work, then the holder of the
// reservation, then the rest so that the accelerators held by each account
// stay in proportion to its weight.
func (p *Planner) orderByShare(gangs []*gang) {
	for _, g := range gangs {
		g.account.ordered = 0
	}
	for _, g := range gangs {
		if g.rank != rankOther {
			continue
		}
		a := g.account
		a.ordered += g.size()
		g.weightedUse = float64(a.held+a.pending+a.ordered) / float64(max(a.contract.Weight, 1))
		if p.reservation != nil && p.reservation.holder == g {
			g.weightedUse = -1
		}
	}
	slices.SortStableFunc(gangs, func(a, b *gang) int {
		if a.rank != b.rank || a.rank != rankOther {
			return 0
		}
		return cmp.Compare(a.weightedUse, b.weightedUse)
	})
}

// recordOutcome feeds the estimator with a gang that ended.
func (p *Planner) recordOutcome(g *gang, outcome primrosespar.GangState, now time.Time) {
	if g.phase != phaseRunning && g.phase != phaseStopping {
		return
	}
	if outcome == primrosespar.GangDone && !g.restored {
		p.estimator.ObserveRun(g.job.Account, g.job.Class, g.job.Declared, now.Sub(g.started))
	}
	if g.peakUse.Cores > 0 || g.peakUse.MemoryBytes > 0 {
		p.estimator.ObserveSize(g.job.Account, g.job.Class, g.peakUse)
	}
}
