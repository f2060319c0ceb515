package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// defaultDeadline applies to jobs that neither declare a deadline nor have one
// in the terms of their class.
const defaultDeadline = 24 * time.Hour

// dueTime returns the arrival time plus the deadline divided by the square root
// of the class's lateness cost. Of two jobs with the same deadline the costlier
// goes first, and a cheap one still moves up as it waits.
func dueTime(job primrosespar.Job, terms primrosespar.ClassTerms, now time.Time) time.Time {
	deadline := cmp.Or(job.Deadline, terms.Deadline, defaultDeadline)
	cost := float64(max(terms.LatenessCost, 1))
	return now.Add(time.Duration(float64(deadline) / math.Sqrt(cost)))
}

// orderByShare sorts the gangs of one plan: claims, urgent gangs, the holder of
// the reservation, then the rest by weighted fair share, so that the
// accelerators of each account stay in proportion to its weight.
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

// recordOutcome passes run time and peak use of an ended gang to the estimator.
func (p *Planner) recordOutcome(g *gang, outcome primrosespar.GangState, now time.Time) {
	if g.phase != phaseRunning && g.phase != phaseStopping {
		return
	}
	if outcome == primrosespar.GangDone && !g.restored {
		p.estimator.ObserveRun(g.job.Account, g.job.Class, g.job.Declared, now.Sub(g.startedAt))
	}
	if g.peakUse.Cores > 0 || g.peakUse.MemoryBytes > 0 {
		p.estimator.ObserveSize(g.job.Account, g.job.Class, g.peakUse)
	}
}
