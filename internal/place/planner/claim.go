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
	maxFreeBlocks        = 16
	maxReclaimableBlocks = 48
	maxOffsets           = 64
)

// candidate is a possible location for one unit of a claim.
type candidate struct {
	guaranteedBlock *guaranteedBlock
	// bindCells are the cells to bind, nil if the guarantee is bound already.
	bindCells []primrosespar.Slice
	slices    []primrosespar.Slice
	victims   map[primrosespar.JobID]*gang
	cost      float64
}

func (c *candidate) better(other *candidate) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(c.cost, other.cost), cmp.Compare(len(c.victims), len(other.victims))) < 0
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
		cand := p.candidateFor(g, i, level, now)
		if cand == nil {
			p.rollback(g)
			return p.claimWaitReason(g)
		}
		p.reserveCandidate(g, cand)
		for id, v := range cand.victims {
			victims[id] = v
		}
	}
	p.startOrEvict(plan, g, victims, now)
	return primrosespar.CodePlaced
}

// startOrEvict starts a gang whose cells are reserved, or evicts the victims first.
func (p *Planner) startOrEvict(plan *primrosespar.Plan, g *gang, victims map[primrosespar.JobID]*gang, now time.Time) {
	p.dequeue(g)
	if len(victims) == 0 {
		p.start(plan, g, primrosespar.CodePlaced, now)
		return
	}
	g.phase = phasePending
	g.victims = victims
	g.account.countPending(g, 1)
	p.pending.ReplaceOrInsert(g)
	p.evictVictims(plan, g, now)
}

// allocateUrgent evicts borrowed gangs for urgent work outside a guarantee, where
// all unclaimed guarantees still pack without its cells.
func (p *Planner) allocateUrgent(plan *primrosespar.Plan, g *gang, now time.Time) bool {
	victims := map[primrosespar.JobID]*gang{}
	count, level := units(g.job.Shape)
	for i := range count {
		var best *candidate
		p.visitUpTo(packer.ViewReclaimable, level, maxReclaimableBlocks, func(b packer.Block) {
			if !p.mayHold(g, b) {
				return
			}
			cand := p.candidateAt(g, i, nil, p.packer.Slices(b, 0, b.Size(), 0), now)
			if cand != nil && p.withinShare(g, cand.slices) && cand.better(best) {
				best = cand
			}
		})
		if best == nil {
			p.rollback(g)
			return false
		}
		p.reserveCandidate(g, best)
		for id, v := range best.victims {
			victims[id] = v
		}
	}
	p.startOrEvict(plan, g, victims, now)
	return true
}

// claimWaitReason says why no candidate was found: too few accelerators are left, or
// the account's guarantee is in use.
func (p *Planner) claimWaitReason(g *gang) primrosespar.Code {
	if !p.packer.Packs(p.demand) {
		return primrosespar.CodeGuaranteeShort
	}
	count, level := units(g.job.Shape)
	free := 0
	for _, gb := range g.account.guaranteedBlocks {
		if gb.claimedUnits == 0 && !gb.removed && gb.level >= level {
			free += 1 << (gb.level - level)
		}
	}
	if free >= count {
		return primrosespar.CodeGuaranteeShort
	}
	return primrosespar.CodeWaiting
}

func (p *Planner) reserveCandidate(g *gang, cand *candidate) {
	if cand.bindCells != nil {
		p.bind(cand.guaranteedBlock, cand.bindCells)
	}
	if cand.guaranteedBlock != nil {
		cand.guaranteedBlock.claimedUnits++
		g.unitBlocks = append(g.unitBlocks, cand.guaranteedBlock)
	}
	p.packer.Reserve(cand.slices, g.job.ID)
	for _, slice := range cand.slices {
		p.countSliceUse(p.workers[slice.Worker], g, slice, 1)
	}
	g.slices = append(g.slices, cand.slices...)
}

func (p *Planner) rollback(g *gang) {
	p.packer.Release(g.slices, g.job.ID)
	p.countUse(g, -1)
	p.releaseGuarantees(g)
	g.slices = nil
}

// countPending counts the gang among the account's pending claims, or takes it off.
func (a *account) countPending(g *gang, sign int) {
	a.pending += sign * g.size()
	a.pendingClaims[g.job.Class] += sign
}

// classExcess is by how much one more gang exceeds the concurrency of the class.
func (a *account) classExcess(class primrosespar.Class) int {
	limit := a.terms(class).Concurrency
	if limit <= 0 {
		return 0
	}
	return a.placed[class] + a.pendingClaims[class] + 1 - limit
}

// quotaVictims are the account's own borrowed gangs that must stop before the
// claim fits the account's quota and the concurrency of its class.
func (p *Planner) quotaVictims(g *gang, now time.Time) (map[primrosespar.JobID]*gang, bool) {
	victims := map[primrosespar.JobID]*gang{}
	a := g.account
	excess := a.held + a.pending + g.size() - a.contract.MaxAccelerators
	classExcess := a.classExcess(g.job.Class)
	if excess <= 0 && classExcess <= 0 {
		return victims, true
	}
	borrowing := make([]*gang, 0, len(a.borrowing))
	for _, v := range a.borrowing {
		borrowing = append(borrowing, v)
	}
	slices.SortFunc(borrowing, func(x, y *gang) int { return compareLostWork(x, y, now) })
	for _, v := range borrowing {
		sameClass := v.job.Class == g.job.Class
		if excess <= 0 && (classExcess <= 0 || !sameClass) {
			continue
		}
		victims[v.job.ID] = v
		excess -= v.size()
		if sameClass {
			classExcess--
		}
	}
	return victims, excess <= 0 && classExcess <= 0
}

// evictVictims stops the victims of the claim, least lost work first.
func (p *Planner) evictVictims(plan *primrosespar.Plan, g *gang, now time.Time) {
	order := make([]*gang, 0, len(g.victims))
	for _, v := range g.victims {
		order = append(order, v)
	}
	slices.SortFunc(order, func(x, y *gang) int { return compareLostWork(x, y, now) })
	for _, v := range order {
		v.blockedClaims = append(v.blockedClaims, g)
		if v.phase == phaseStopping {
			continue
		}
		plan.Preemptions = append(plan.Preemptions, primrosespar.Preemption{
			Victim: v.job.ID, For: g.job.ID, Reason: primrosespar.CodePreempted, LostWork: v.lostTime(now),
		})
		v.phase = phaseStopping
	}
}

// candidateFor finds cells for unit i: inside a guaranteed block that the account
// draws on already, else in the smallest unclaimed one.
func (p *Planner) candidateFor(g *gang, i, level int, now time.Time) *candidate {
	for _, gb := range g.account.guaranteedBlocks {
		if gb.claimedUnits == 0 || gb.removed || gb.level < level {
			continue
		}
		if cand := p.candidateInBoundBlock(g, i, level, gb, now); cand != nil {
			return cand
		}
	}
	for _, gb := range g.account.guaranteedBlocks {
		if gb.claimedUnits > 0 || gb.removed || gb.level < level {
			continue
		}
		if cand := p.candidateInNewBlock(g, i, level, gb, now); cand != nil {
			return cand
		}
	}
	return nil
}

// candidateInBoundBlock looks at the aligned runs of a bound block that no claim holds.
// The run in the smallest unclaimed surroundings wins, then the cheapest.
func (p *Planner) candidateInBoundBlock(g *gang, i, level int, gb *guaranteedBlock, now time.Time) *candidate {
	taken := make([]bool, 0, 1<<gb.level)
	p.packer.Visit(gb.cells, func(c packer.Cell, s packer.State) {
		taken = append(taken, s == packer.Dead || s == packer.NonPreemptible)
	})
	var best *candidate
	tightest := packer.Levels
	for offset := 0; offset+1<<level <= len(taken); offset += 1 << level {
		untaken := untakenLevel(taken, offset, level)
		if untaken < 0 || untaken > tightest {
			continue
		}
		s := p.candidateAt(g, i, gb, packer.Sub(gb.cells, offset, 1<<level, 0), now)
		if s != nil && (untaken < tightest || s.better(best)) {
			best, tightest = s, untaken
		}
	}
	return best
}

// untakenLevel returns the level of the largest aligned run around the position
// in which nothing is taken, -1 if the run of the level itself has taken cells.
func untakenLevel(taken []bool, offset, level int) int {
	untaken := -1
	for l := level; 1<<l <= len(taken); l++ {
		first := offset &^ (1<<l - 1)
		if slices.Contains(taken[first:first+1<<l], true) {
			break
		}
		untaken = l
	}
	return untaken
}

// candidateAt values the use of the cells; nil if they can't be had.
func (p *Planner) candidateAt(g *gang, i int, gb *guaranteedBlock, cells []primrosespar.Slice, now time.Time) *candidate {
	cand := &candidate{guaranteedBlock: gb, slices: unitSlices(g.job.Shape, i, cells), victims: map[primrosespar.JobID]*gang{}}
	p.packer.Visit(cand.slices, func(c packer.Cell, state packer.State) {
		if v := p.gangs[c.Holder]; state == packer.Preemptible && v != nil {
			cand.victims[v.job.ID] = v
		}
	})
	if !p.evictForResources(g, cand.slices, cand.victims, now) {
		return nil
	}
	for _, v := range cand.victims {
		cand.cost += v.lostWork(now)
	}
	return cand
}

// candidateInNewBlock binds the guarantee to the physical block that loses least work
// and leaves room for all other unclaimed blocks.
func (p *Planner) candidateInNewBlock(g *gang, i, level int, gb *guaranteedBlock, now time.Time) *candidate {
	demand := p.demand
	demand[gb.level]--
	packs := p.packer.Packs(p.demand)
	var best *candidate
	consider := func(b packer.Block) {
		supply, ok := p.packer.Without(packer.ViewReclaimable, b)
		if !ok || packs && packer.Fits(supply, demand) >= 0 {
			return
		}
		cells := p.packer.Slices(b, 0, b.Size(), 0)
		for offset := 0; offset < min(b.Size(), maxOffsets<<level); offset += 1 << level {
			cand := p.candidateAt(g, i, gb, packer.Sub(cells, offset, 1<<level, 0), now)
			if cand != nil && cand.better(best) {
				cand.bindCells = cells
				best = cand
			}
		}
	}
	p.visitUpTo(packer.ViewFree, gb.level, maxFreeBlocks, consider)
	if best != nil && len(best.victims) == 0 {
		return best
	}
	p.visitUpTo(packer.ViewReclaimable, gb.level, maxReclaimableBlocks, consider)
	return best
}

// visitUpTo visits up to limit candidates of the view.
func (p *Planner) visitUpTo(view packer.View, level, limit int, visit func(packer.Block)) {
	p.packer.Candidates(view, level, func(b packer.Block) bool {
		visit(b)
		limit--
		return limit > 0
	})
}
