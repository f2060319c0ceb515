package planner

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Bounds on the blocks that the placement of one unit looks at and on those of
// them that it compares.
const (
	maxTries   = 1024
	maxChoices = 32
)

// take gives cells to a gang that does not claim. It returns the reason if
// there are none.
func (p *Planner) take(g *gang, now time.Time) primrosespar.Code {
	g.borrowed = g.preemptible()
	ok := false
	if g.job.Shape.Block == 0 {
		ok = p.takeSpare(g)
	} else {
		ok = p.takeUnits(g, now)
	}
	if ok {
		return primrosespar.CodePlaced
	}
	p.pack.Release(g.slices, g.job.ID)
	p.use(g, -1)
	g.slices, g.borrowed = nil, false
	if p.pack.Count(packer.Free) >= g.size() && !g.preemptible() {
		return primrosespar.CodeGuaranteeReserve
	}
	return primrosespar.CodeWaiting
}

func (p *Planner) takeUnits(g *gang, now time.Time) bool {
	count, level := units(g.job.Shape)
	if p.pack.Count(packer.Free) < g.size() {
		return false
	}
	state := packer.NonPreemptible
	if g.borrowed {
		state = packer.Preemptible
	}
	for i := range count {
		taken := p.findUnit(g, i, level, now)
		if taken == nil {
			return false
		}
		p.pack.Hold(taken, g.job.ID, state)
		for _, s := range taken {
			p.useSlice(p.workers[s.Worker], g, s, 1)
		}
		g.slices = append(g.slices, taken...)
	}
	return true
}

// findUnit returns cells for unit i from the free block in the tightest
// surroundings. Borrowed
// work first looks where the free cells still pack all unclaimed guarantees,
// so that a claim has nothing to evict.
func (p *Planner) findUnit(g *gang, i, level int, now time.Time) []primrosespar.Slice {
	var found, second pick
	tries, choices := maxTries, maxChoices
	p.pack.Candidates(packer.ViewFree, level, func(b packer.Block) bool {
		tries--
		taken := unitSlices(g.job.Shape, i, p.pack.Slices(b, 0, b.Size(), 0))
		if !p.allowed(g, b) || !p.passes(g, b, now) || !p.roomFor(g, taken) {
			return tries > 0
		}
		choices--
		best := &second
		if !g.borrowed || p.spares(b) {
			best = &found
		}
		if best.slices == nil || p.pack.Tighter(packer.ViewFree, b, best.block) {
			*best = pick{b, taken}
		}
		return tries > 0 && choices > 0
	})
	if found.slices == nil {
		return second.slices
	}
	return found.slices
}

// pick is a block that the unit may take.
type pick struct {
	block  packer.Block
	slices []primrosespar.Slice
}

// spares reports whether the free cells without the block pack all unclaimed
// guarantees.
func (p *Planner) spares(b packer.Block) bool {
	supply, ok := p.pack.Without(packer.ViewFree, b)
	return ok && packer.Fits(supply, p.demand) < 0
}

// allowed reports whether the gang may hold the block: borrowed work always,
// other work only if every unclaimed guarantee still packs without it.
func (p *Planner) allowed(g *gang, b packer.Block) bool {
	if g.borrowed || p.options.ignoreReserve {
		return true
	}
	supply, ok := p.pack.Without(packer.ViewReclaimable, b)
	return ok && packer.Fits(supply, p.demand) < 0
}

// takeSpare places members without accelerators by cores and memory. Work that
// must not be preempted stays off workers with accelerators, whose cores and
// memory belong to guaranteed blocks.
func (p *Planner) takeSpare(g *gang) bool {
	for m := range g.job.Shape.Members {
		w := p.findSpare(g)
		if w == nil {
			return false
		}
		s := primrosespar.Slice{Worker: w.entry.Worker, Member: m}
		p.useSlice(w, g, s, 1)
		g.slices = append(g.slices, s)
	}
	return true
}

func (p *Planner) findSpare(g *gang) *worker {
	var found *worker
	for accelerated := range 2 {
		if accelerated == 1 && !g.borrowed {
			break
		}
		from := &worker{entry: primrosespar.WorkerEntry{
			Accelerators: accelerated, Cores: g.need.cores, MemoryBytes: g.need.memory,
		}}
		tries := maxTries
		p.spare.AscendGreaterOrEqual(from, func(w *worker) bool {
			tries--
			if min(w.entry.Accelerators, 1) != accelerated {
				return false
			}
			if w.usable && !p.banned[w.entry.Worker] && w.left().holds(g.need) {
				found = w
			}
			return found == nil && tries > 0
		})
		if found != nil {
			break
		}
	}
	return found
}
