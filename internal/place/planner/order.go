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

// arrange orders the gangs to try: claims, urgent work, then the holder of the
// reservation, then the rest so that the accelerators held by each account
// stay in proportion to its weight.
func (p *Planner) arrange(tries []*gang) {
	for _, g := range tries {
		g.account.ahead = 0
	}
	for _, g := range tries {
		if g.rank != rankOther {
			continue
		}
		a := g.account
		a.ahead += g.size()
		g.share = float64(a.held+a.pending+a.ahead) / float64(max(a.contract.Weight, 1))
		if p.target != nil && p.target.holder == g {
			g.share = -1
		}
	}
	slices.SortStableFunc(tries, func(a, b *gang) int {
		if a.rank != b.rank || a.rank != rankOther {
			return 0
		}
		return cmp.Compare(a.share, b.share)
	})
}

// observe feeds the estimator with a gang that ended.
func (p *Planner) observe(g *gang, outcome primrosespar.GangState, now time.Time) {
	if g.phase != phaseRunning && g.phase != phaseStopping {
		return
	}
	if outcome == primrosespar.GangDone && !g.restored {
		p.estimator.ObserveRun(g.job.Account, g.job.Class, g.job.Declared, now.Sub(g.started))
	}
	if g.peak.Cores > 0 || g.peak.MemoryBytes > 0 {
		p.estimator.ObserveSize(g.job.Account, g.job.Class, g.peak)
	}
}
