package planner

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Bounds on the blocks or workers that a search for one unit or member visits,
// and on the suitable blocks that it compares.
const (
	maxVisited  = 1024
	maxCompared = 32
)

// allocate gives cells or workers to a gang that is not a claim. If there are
// none, it returns the reason to wait.
func (p *Planner) allocate(g *gang, now time.Time) primrosespar.Code {
	g.borrowed = g.preemptible()
	ok := false
	if g.job.Shape.Block == 0 {
		ok = p.allocateCPUOnly(g)
	} else {
		ok = p.allocateUnits(g, now)
	}
	if ok {
		return primrosespar.CodePlaced
	}
	p.packer.Release(g.slices, g.job.ID)
	p.countUse(g, -1)
	g.slices, g.borrowed = nil, false
	if p.packer.Count(packer.Free) >= g.size() && !g.preemptible() {
		return primrosespar.CodeGuaranteeReserve
	}
	return primrosespar.CodeWaiting
}

// allocateUnits places a gang with accelerators unit by unit.
func (p *Planner) allocateUnits(g *gang, now time.Time) bool {
	count, level := units(g.job.Shape)
	if p.packer.Count(packer.Free) < g.size() {
		return false
	}
	state := packer.NonPreemptible
	if g.borrowed {
		state = packer.Preemptible
	}
	for i := range count {
		slices := p.findUnit(g, i, level, now)
		if slices == nil {
			return false
		}
		p.packer.Hold(slices, g.job.ID, state)
		for _, s := range slices {
			p.countSliceUse(p.workers[s.Worker], g, s, 1)
		}
		g.slices = append(g.slices, slices...)
	}
	return true
}

// findUnit returns cells for unit i from the free block that fits most tightly.
// For borrowing gangs it prefers blocks without which the free cells still hold
// all unclaimed guaranteed blocks, so that a claim has nothing to preempt.
func (p *Planner) findUnit(g *gang, i, level int, now time.Time) []primrosespar.Slice {
	var preferred, fallback choice
	toVisit, toCompare := maxVisited, maxCompared
	p.packer.Candidates(packer.ViewFree, level, func(b packer.Block) bool {
		toVisit--
		slices := unitSlices(g.job.Shape, i, p.packer.Slices(b, 0, b.Size(), 0))
		if !p.mayHold(g, b) || !p.mayBackfill(g, b, now) || !p.fitsWorkers(g, slices) {
			return toVisit > 0
		}
		toCompare--
		best := &fallback
		if !g.borrowed || p.leavesRoomForGuarantees(b) {
			best = &preferred
		}
		if best.slices == nil || p.packer.FitsTighter(packer.ViewFree, b, best.block) {
			*best = choice{b, slices}
		}
		return toVisit > 0 && toCompare > 0
	})
	if preferred.slices == nil {
		return fallback.slices
	}
	return preferred.slices
}

// choice is a block that a unit may use.
type choice struct {
	block  packer.Block
	slices []primrosespar.Slice
}

// leavesRoomForGuarantees reports whether the free cells without the block hold
// all unclaimed guaranteed blocks.
func (p *Planner) leavesRoomForGuarantees(b packer.Block) bool {
	supply, ok := p.packer.SupplyWithout(packer.ViewFree, b)
	return ok && packer.Fits(supply, p.demand) < 0
}

// mayHold reports whether the gang may hold the block: a borrowing gang always,
// any other only if all unclaimed guaranteed blocks still fit without it.
func (p *Planner) mayHold(g *gang, b packer.Block) bool {
	if g.borrowed || p.options.skipGuaranteeCheck {
		return true
	}
	supply, ok := p.packer.SupplyWithout(packer.ViewReclaimable, b)
	return ok && packer.Fits(supply, p.demand) < 0
}

// allocateCPUOnly places members without accelerators by cores and memory.
// Non-preemptible members stay off workers with accelerators, whose cores and
// memory belong to guaranteed blocks.
func (p *Planner) allocateCPUOnly(g *gang) bool {
	for m := range g.job.Shape.Members {
		w := p.findCPUOnlyWorker(g)
		if w == nil {
			return false
		}
		s := primrosespar.Slice{Worker: w.entry.Worker, Member: m}
		p.countSliceUse(w, g, s, 1)
		g.slices = append(g.slices, s)
	}
	return true
}

// findCPUOnlyWorker returns the worker that fits a member without accelerators
// most tightly, workers without accelerators first, or nil.
func (p *Planner) findCPUOnlyWorker(g *gang) *worker {
	var found *worker
	for accelerated := range 2 {
		if accelerated == 1 && !g.borrowed {
			break
		}
		from := &worker{entry: primrosespar.WorkerEntry{
			Accelerators: accelerated, Cores: g.memberResources.cores, MemoryBytes: g.memberResources.memory,
		}}
		remaining := maxVisited
		p.workersByFree.AscendGreaterOrEqual(from, func(w *worker) bool {
			remaining--
			if min(w.entry.Accelerators, 1) != accelerated {
				return false
			}
			if w.usable && !p.quarantined[w.entry.Worker] && w.free().covers(g.memberResources) {
				found = w
			}
			return found == nil && remaining > 0
		})
		if found != nil {
			break
		}
	}
	return found
}
