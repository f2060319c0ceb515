package planner

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Bounds on the blocks that one unit of a claim compares. The first block of
// the best fit is always valid, so a bound can cost work, never the claim.
const (
	maxFreeTries    = 16
	maxReclaimTries = 48
	maxOffsets      = 64
)

// candidate is a possible location for one unit of a claim.
type candidate struct {
	guarantee *guarantee
	// bind are the cells to bind, nil if the guarantee is bound already.
	bind    []primrosespar.Slice
	slices  []primrosespar.Slice
	victims map[primrosespar.JobID]*gang
	cost    float64
}

func (s *candidate) better(other *candidate) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(s.cost, other.cost), cmp.Compare(len(s.victims), len(other.victims))) < 0
}

// claim reserves guaranteed blocks for the gang and evicts the borrowed gangs
// on them.
func (p *Planner) claim(plan *primrosespar.Plan, g *gang, now time.Time) primrosespar.Code {
	victims, ok := p.quotaVictims(g, now)
	if !ok {
		return primrosespar.CodeQuotaExceeded
	}
	count, level := units(g.job.Shape)
	for i := range count {
		s := p.candidateFor(g, i, level, now)
		if s == nil {
			p.undoClaim(g)
			return p.claimRefusal(g)
		}
		p.reserve(g, s)
		for id, v := range s.victims {
			victims[id] = v
		}
	}
	p.settle(plan, g, victims, now)
	return primrosespar.CodePlaced
}

// settle starts a gang whose cells are reserved, or evicts the victims first.
func (p *Planner) settle(plan *primrosespar.Plan, g *gang, victims map[primrosespar.JobID]*gang, now time.Time) {
	p.dequeue(g)
	if len(victims) == 0 {
		p.start(plan, g, primrosespar.CodePlaced, now)
		return
	}
	g.phase = phasePending
	g.victims = victims
	g.account.wait(g, 1)
	p.pending.ReplaceOrInsert(g)
	p.evictAll(plan, g, now)
}

// takeUrgent evicts borrowed gangs for urgent work outside a guarantee, where
// all unclaimed guarantees still pack without its cells.
func (p *Planner) takeUrgent(plan *primrosespar.Plan, g *gang, now time.Time) bool {
	victims := map[primrosespar.JobID]*gang{}
	count, level := units(g.job.Shape)
	for i := range count {
		var best *candidate
		p.visitUpTo(packer.ViewReclaimable, level, maxReclaimTries, func(b packer.Block) {
			if !p.allowed(g, b) {
				return
			}
			s := p.candidateAt(g, i, nil, p.pack.Slices(b, 0, b.Size(), 0), now)
			if s != nil && p.withinShare(g, s.slices) && s.better(best) {
				best = s
			}
		})
		if best == nil {
			p.undoClaim(g)
			return false
		}
		p.reserve(g, best)
		for id, v := range best.victims {
			victims[id] = v
		}
	}
	p.settle(plan, g, victims, now)
	return true
}

// claimRefusal says why no candidate was found: too few accelerators are left, or
// the account's guarantee is in use.
func (p *Planner) claimRefusal(g *gang) primrosespar.Code {
	if !p.pack.Packs(p.demand) {
		return primrosespar.CodeGuaranteeShort
	}
	count, level := units(g.job.Shape)
	free := 0
	for _, q := range g.account.guarantees {
		if q.draws == 0 && !q.ended && q.level >= level {
			free += 1 << (q.level - level)
		}
	}
	if free >= count {
		return primrosespar.CodeGuaranteeShort
	}
	return primrosespar.CodeWaiting
}

func (p *Planner) reserve(g *gang, s *candidate) {
	if s.bind != nil {
		p.bind(s.guarantee, s.bind)
	}
	if s.guarantee != nil {
		s.guarantee.draws++
		g.draws = append(g.draws, s.guarantee)
	}
	p.pack.Reserve(s.slices, g.job.ID)
	for _, slice := range s.slices {
		p.useSlice(p.workers[slice.Worker], g, slice, 1)
	}
	g.slices = append(g.slices, s.slices...)
}

func (p *Planner) undoClaim(g *gang) {
	p.pack.Release(g.slices, g.job.ID)
	p.use(g, -1)
	p.unbind(g)
	g.slices = nil
}

// wait counts the gang among the account's pending claims, or takes it off.
func (a *account) wait(g *gang, sign int) {
	a.pending += sign * g.size()
	a.waiting[g.job.Class] += sign
}

// classOver is by how much one more gang exceeds the concurrency of the class.
func (a *account) classOver(class primrosespar.Class) int {
	limit := a.terms(class).Concurrency
	if limit <= 0 {
		return 0
	}
	return a.active[class] + a.waiting[class] + 1 - limit
}

// quotaVictims are the account's own borrowed gangs that must stop before the
// claim fits the account's quota and the concurrency of its class.
func (p *Planner) quotaVictims(g *gang, now time.Time) (map[primrosespar.JobID]*gang, bool) {
	victims := map[primrosespar.JobID]*gang{}
	a := g.account
	over := a.held + a.pending + g.size() - a.contract.MaxAccelerators
	classOver := a.classOver(g.job.Class)
	if over <= 0 && classOver <= 0 {
		return victims, true
	}
	borrowing := make([]*gang, 0, len(a.borrowing))
	for _, v := range a.borrowing {
		borrowing = append(borrowing, v)
	}
	slices.SortFunc(borrowing, func(x, y *gang) int { return cheaper(x, y, now) })
	for _, v := range borrowing {
		same := v.job.Class == g.job.Class
		if over <= 0 && (classOver <= 0 || !same) {
			continue
		}
		victims[v.job.ID] = v
		over -= v.size()
		if same {
			classOver--
		}
	}
	return victims, over <= 0 && classOver <= 0
}

// evictAll stops the victims of the claim, least lost work first.
func (p *Planner) evictAll(plan *primrosespar.Plan, g *gang, now time.Time) {
	order := make([]*gang, 0, len(g.victims))
	for _, v := range g.victims {
		order = append(order, v)
	}
	slices.SortFunc(order, func(x, y *gang) int { return cheaper(x, y, now) })
	for _, v := range order {
		v.waiters = append(v.waiters, g)
		if v.phase == phaseStopping {
			continue
		}
		plan.Preemptions = append(plan.Preemptions, primrosespar.Preemption{
			Victim: v.job.ID, For: g.job.ID, Reason: primrosespar.CodePreempted, LostWork: v.lost(now),
		})
		v.phase = phaseStopping
	}
}

// candidateFor finds cells for unit i: inside a guaranteed block that the account
// draws on already, else in the smallest unclaimed one.
func (p *Planner) candidateFor(g *gang, i, level int, now time.Time) *candidate {
	for _, q := range g.account.guarantees {
		if q.draws == 0 || q.ended || q.level < level {
			continue
		}
		if s := p.candidateInside(g, i, level, q, now); s != nil {
			return s
		}
	}
	for _, q := range g.account.guarantees {
		if q.draws > 0 || q.ended || q.level < level {
			continue
		}
		if s := p.candidateOutside(g, i, level, q, now); s != nil {
			return s
		}
	}
	return nil
}

// candidateInside looks at the aligned runs of a bound block that no claim holds.
// The run in the smallest unclaimed surroundings wins, then the cheapest.
func (p *Planner) candidateInside(g *gang, i, level int, q *guarantee, now time.Time) *candidate {
	taken := make([]bool, 0, 1<<q.level)
	p.pack.Visit(q.cells, func(c packer.Cell, s packer.State) {
		taken = append(taken, s == packer.Dead || s == packer.NonPreemptible)
	})
	var best *candidate
	tightest := packer.Levels
	for at := 0; at+1<<level <= len(taken); at += 1 << level {
		room := openLevel(taken, at, level)
		if room < 0 || room > tightest {
			continue
		}
		s := p.candidateAt(g, i, q, packer.Sub(q.cells, at, 1<<level, 0), now)
		if s != nil && (room < tightest || s.better(best)) {
			best, tightest = s, room
		}
	}
	return best
}

// openLevel returns the level of the largest aligned run around the position
// in which nothing is taken, -1 if the run of the level itself has taken cells.
func openLevel(taken []bool, at, level int) int {
	open := -1
	for k := level; 1<<k <= len(taken); k++ {
		first := at &^ (1<<k - 1)
		if slices.Contains(taken[first:first+1<<k], true) {
			break
		}
		open = k
	}
	return open
}

// candidateAt values the use of the cells; nil if they can't be had.
func (p *Planner) candidateAt(g *gang, i int, q *guarantee, cells []primrosespar.Slice, now time.Time) *candidate {
	s := &candidate{guarantee: q, slices: unitSlices(g.job.Shape, i, cells), victims: map[primrosespar.JobID]*gang{}}
	p.pack.Visit(s.slices, func(c packer.Cell, state packer.State) {
		if v := p.gangs[c.Holder]; state == packer.Preemptible && v != nil {
			s.victims[v.job.ID] = v
		}
	})
	if !p.evictForSize(g, s.slices, s.victims, now) {
		return nil
	}
	for _, v := range s.victims {
		s.cost += v.weighed(now)
	}
	return s
}

// candidateOutside binds the guarantee to the physical block that loses least work
// and leaves room for all other unclaimed blocks.
func (p *Planner) candidateOutside(g *gang, i, level int, q *guarantee, now time.Time) *candidate {
	rest := p.demand
	rest[q.level]--
	sound := p.pack.Packs(p.demand)
	var best *candidate
	consider := func(b packer.Block) {
		supply, ok := p.pack.Without(packer.ViewReclaimable, b)
		if !ok || sound && packer.Fits(supply, rest) >= 0 {
			return
		}
		cells := p.pack.Slices(b, 0, b.Size(), 0)
		for at := 0; at < min(b.Size(), maxOffsets<<level); at += 1 << level {
			s := p.candidateAt(g, i, q, packer.Sub(cells, at, 1<<level, 0), now)
			if s != nil && s.better(best) {
				s.bind = cells
				best = s
			}
		}
	}
	p.visitUpTo(packer.ViewFree, q.level, maxFreeTries, consider)
	if best != nil && len(best.victims) == 0 {
		return best
	}
	p.visitUpTo(packer.ViewReclaimable, q.level, maxReclaimTries, consider)
	return best
}

// visitUpTo visits up to limit candidates of the view.
func (p *Planner) visitUpTo(v packer.View, level, limit int, visit func(packer.Block)) {
	p.pack.Candidates(v, level, func(b packer.Block) bool {
		visit(b)
		limit--
		return limit > 0
	})
}
