package planner

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Bounds on the blocks that are compared for one unit of a claim. The first
// block in best-fit order is always valid, so a bound may preempt more work
// than necessary but never makes a claim fail.
const (
	maxFreeBlocks        = 16
	maxReclaimableBlocks = 48
	maxOffsets           = 64
)

// candidate is a possible location for one unit of a gang, with the gangs to
// preempt there and the work that they lose.
type candidate struct {
	guaranteedBlock *guaranteedBlock
	// bindCells are the cells to bind, nil if the guaranteed block is bound
	// already.
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

// claim places the gang in guaranteed blocks of its account and preempts the
// gangs that borrow their cells.
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
	p.startOrPreempt(plan, g, victims, now)
	return primrosespar.CodePlaced
}

// startOrPreempt starts a gang whose cells are reserved. If there are victims,
// it preempts them and leaves the gang pending until they have stopped.
func (p *Planner) startOrPreempt(plan *primrosespar.Plan, g *gang, victims map[primrosespar.JobID]*gang, now time.Time) {
	p.dequeue(g)
	if len(victims) == 0 {
		p.start(plan, g, primrosespar.CodePlaced, now)
		return
	}
	g.phase = phasePending
	g.victims = victims
	g.account.countPending(g, 1)
	p.pending.ReplaceOrInsert(g)
	p.preemptVictims(plan, g, now)
}

// allocateUrgent preempts borrowing gangs for an urgent gang that is not a
// claim. It uses only cells without which all unclaimed guaranteed blocks still
// fit.
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
	p.startOrPreempt(plan, g, victims, now)
	return true
}

// claimWaitReason returns why a claim has no candidate: too few accelerators
// are left, or the account's guaranteed blocks are in use.
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

// reserveCandidate reserves the candidate's cells, cores and memory for the
// gang and binds its guaranteed block if necessary.
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

// rollback undoes every reserveCandidate of the gang.
func (p *Planner) rollback(g *gang) {
	p.packer.Release(g.slices, g.job.ID)
	p.countUse(g, -1)
	p.releaseGuarantees(g)
	g.slices = nil
}

// countPending adds the gang to the account's pending gangs, or removes it with
// sign -1.
func (a *account) countPending(g *gang, sign int) {
	a.pending += sign * g.size()
	a.pendingGangs[g.job.Class] += sign
}

// classExcess returns by how much one more gang would exceed the concurrency of
// the class.
func (a *account) classExcess(class primrosespar.Class) int {
	limit := a.terms(class).Concurrency
	if limit <= 0 {
		return 0
	}
	return a.placedGangs[class] + a.pendingGangs[class] + 1 - limit
}

// quotaVictims returns the account's own borrowing gangs that must stop for the
// claim to fit the account's quota and the concurrency of its class. It reports
// false if that is not enough.
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

// preemptVictims preempts the victims of the gang, least lost work first.
func (p *Planner) preemptVictims(plan *primrosespar.Plan, g *gang, now time.Time) {
	order := make([]*gang, 0, len(g.victims))
	for _, v := range g.victims {
		order = append(order, v)
	}
	slices.SortFunc(order, func(x, y *gang) int { return compareLostWork(x, y, now) })
	for _, v := range order {
		v.blockedGangs = append(v.blockedGangs, g)
		if v.phase == phaseStopping {
			continue
		}
		plan.Preemptions = append(plan.Preemptions, primrosespar.Preemption{
			Victim: v.job.ID, For: g.job.ID, Reason: primrosespar.CodePreempted, LostWork: v.lostTime(now),
		})
		v.phase = phaseStopping
	}
}

// candidateFor finds cells for unit i in a guaranteed block that the account
// already uses, else in its smallest unclaimed one.
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

// candidateInBoundBlock compares the aligned runs of a bound block that no
// claim holds. It prefers the run in the smallest untaken part of the block,
// then the one that loses least work.
func (p *Planner) candidateInBoundBlock(g *gang, i, level int, gb *guaranteedBlock, now time.Time) *candidate {
	taken := make([]bool, 0, 1<<gb.level)
	p.packer.VisitCells(gb.cells, func(c packer.Cell, s packer.State) {
		taken = append(taken, s == packer.Unavailable || s == packer.NonPreemptible)
	})
	var best *candidate
	tightest := packer.Levels
	for offset := 0; offset+1<<level <= len(taken); offset += 1 << level {
		untaken := untakenLevel(taken, offset, level)
		if untaken < 0 || untaken > tightest {
			continue
		}
		cand := p.candidateAt(g, i, gb, packer.SubSlices(gb.cells, offset, 1<<level, 0), now)
		if cand != nil && (untaken < tightest || cand.better(best)) {
			best, tightest = cand, untaken
		}
	}
	return best
}

// untakenLevel returns the level of the largest aligned run around the offset
// without taken cells, -1 if the run of the given level has taken cells.
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

// candidateAt returns the candidate on these cells, nil if preemptions cannot
// free enough cores and memory on their workers.
func (p *Planner) candidateAt(g *gang, i int, gb *guaranteedBlock, cells []primrosespar.Slice, now time.Time) *candidate {
	cand := &candidate{guaranteedBlock: gb, slices: unitSlices(g.job.Shape, i, cells), victims: map[primrosespar.JobID]*gang{}}
	p.packer.VisitCells(cand.slices, func(c packer.Cell, state packer.State) {
		if v := p.gangs[c.Holder]; state == packer.Preemptible && v != nil {
			cand.victims[v.job.ID] = v
		}
	})
	if !p.preemptForResources(g, cand.slices, cand.victims, now) {
		return nil
	}
	for _, v := range cand.victims {
		cand.cost += v.lostWork(now)
	}
	return cand
}

// candidateInNewBlock finds the physical block for an unclaimed guaranteed
// block that loses least work and leaves room for all other unclaimed blocks.
// If these do not fit even now, it accepts any block.
func (p *Planner) candidateInNewBlock(g *gang, i, level int, gb *guaranteedBlock, now time.Time) *candidate {
	demand := p.demand
	demand[gb.level]--
	packs := p.packer.Packs(p.demand)
	var best *candidate
	consider := func(b packer.Block) {
		supply, ok := p.packer.SupplyWithout(packer.ViewReclaimable, b)
		if !ok || packs && packer.Fits(supply, demand) >= 0 {
			return
		}
		cells := p.packer.Slices(b, 0, b.Size(), 0)
		for offset := 0; offset < min(b.Size(), maxOffsets<<level); offset += 1 << level {
			cand := p.candidateAt(g, i, gb, packer.SubSlices(cells, offset, 1<<level, 0), now)
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

// visitUpTo visits at most limit blocks of the level in the view, best fit
// first.
func (p *Planner) visitUpTo(view packer.View, level, limit int, visit func(packer.Block)) {
	p.packer.Candidates(view, level, func(b packer.Block) bool {
		visit(b)
		limit--
		return limit > 0
	})
}
