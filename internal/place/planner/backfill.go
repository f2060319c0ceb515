package planner

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
	"primrosespar.example/primrosespar/internal/place/packer"
)

const (
	// maxReservationBlocks bounds the blocks that reserveOldest compares.
	maxReservationBlocks = 1024
	// starvationTime is how long younger jobs of the same capacity kind may
	// overtake a job that a reservation cannot help, because it waits for cores
	// or for accelerators kept free for guarantees.
	starvationTime = 10 * time.Minute
)

// reservation sets blocks aside for the oldest job that waits for accelerators.
// Its blocks and its start never change while the job waits, so younger jobs
// cannot delay it for ever: after the start no new work enters the blocks.
type reservation struct {
	holder *gang
	madeAt time.Time
	start  time.Time
	blocks map[primrosespar.Rack][]packer.Block
}

// overlaps reports whether the block overlaps the reservation.
func (r *reservation) overlaps(b packer.Block) bool {
	for _, reserved := range r.blocks[b.Rack] {
		if reserved.Start < b.Start+b.Size() && b.Start < reserved.Start+reserved.Size() {
			return true
		}
	}
	return false
}

// mayBackfill reports whether the gang may use the block ahead of the holder of
// the reservation: its estimated run must end before the reservation starts.
func (p *Planner) mayBackfill(g *gang, b packer.Block, now time.Time) bool {
	r := p.reservation
	if r == nil || r.holder == g || g.rank < r.holder.rank || !r.overlaps(b) {
		return true
	}
	if g.overran {
		return false
	}
	estimate := p.estimate(g)
	return estimate.Reliable && !now.Add(estimate.High).After(r.start)
}

func (p *Planner) estimate(g *gang) estimator.Run {
	return p.estimator.Run(g.job.Account, g.job.Class, g.job.Declared)
}

// yieldsToStarving reports whether an older job of the same capacity kind has
// waited so long that this one may not overtake it.
func (p *Planner) yieldsToStarving(g *gang) bool {
	starving := p.starving[g.capacityKind()]
	return starving != nil && starving != g && g.rank >= starving.rank && g.sequence > starving.sequence
}

// capacityKind groups jobs that compete for the same capacity.
type capacityKind int

const (
	capacityBorrowed capacityKind = iota
	capacityNonPreemptible
	capacityCPUOnly
)

func (g *gang) capacityKind() capacityKind {
	switch {
	case g.job.Shape.Block == 0:
		return capacityCPUOnly
	case g.preemptible():
		return capacityBorrowed
	default:
		return capacityNonPreemptible
	}
}

// recordBlocked records since when the gang has been waiting for capacity, and
// makes it the starving job of its kind or the next holder of the reservation
// where that applies.
func (p *Planner) recordBlocked(g *gang, code primrosespar.Code, now time.Time) {
	if g.job.Claim || code == primrosespar.CodeQuotaExceeded || code == primrosespar.CodeConcurrencyLimit {
		p.clearBlocked(g)
		return
	}
	if g.blockedSince.IsZero() {
		g.blockedSince = now
	}
	kind := g.capacityKind()
	unreservable := code == primrosespar.CodeGuaranteeReserve || kind == capacityCPUOnly
	if starving := p.starving[kind]; unreservable && now.Sub(g.blockedSince) >= starvationTime && (starving == nil || g.sequence < starving.sequence) {
		p.starving[kind] = g
	}
	if oldest := p.oldestBlocked; !unreservable && (oldest == nil || cmp.Or(g.rank-oldest.rank, cmp.Compare(g.sequence, oldest.sequence)) < 0) {
		p.oldestBlocked = g
	}
}

// clearBlocked resets the gang's waiting time and ends its reservation and its
// precedence as a starving job.
func (p *Planner) clearBlocked(g *gang) {
	if p.reservation != nil && p.reservation.holder == g {
		p.reservation, p.capacityChanged = nil, true
	}
	for kind, starving := range p.starving {
		if starving == g {
			delete(p.starving, kind)
		}
	}
	if p.oldestBlocked == g {
		p.oldestBlocked = nil
	}
	g.blockedSince = time.Time{}
}

// reserveOldest makes a reservation for the oldest blocked job if there is
// none. A reservation that lost blocks to a failure or to work of higher rank
// is made again.
func (p *Planner) reserveOldest(now time.Time) {
	if p.reservation != nil && p.broken(p.reservation) {
		p.oldestBlocked, p.reservation = p.reservation.holder, nil
	}
	if p.reservation != nil || p.oldestBlocked == nil {
		return
	}
	g := p.oldestBlocked
	count, level := units(g.job.Shape)
	type blockEnd struct {
		block packer.Block
		end   time.Time
	}
	var found []blockEnd
	remaining := maxReservationBlocks
	p.packer.AlignedBlocks(level, func(b packer.Block) bool {
		if end, ok := p.freeAt(b, now); ok {
			found = append(found, blockEnd{b, end})
		}
		remaining--
		return remaining > 0
	})
	if len(found) < count {
		return
	}
	slices.SortStableFunc(found, func(a, b blockEnd) int { return a.end.Compare(b.end) })
	r := &reservation{holder: g, madeAt: now, start: now, blocks: map[primrosespar.Rack][]packer.Block{}}
	for _, c := range found[:count] {
		r.blocks[c.block.Rack] = append(r.blocks[c.block.Rack], c.block)
		if c.end.After(r.start) {
			r.start = c.end
		}
	}
	p.reservation = r
}

// freeAt returns when the gangs on the block are expected to end. A gang that
// has run longer than estimated is expected to run as long again. It reports
// false if a worker of the block takes no new work.
func (p *Planner) freeAt(b packer.Block, now time.Time) (time.Time, bool) {
	end, ok := now, true
	var last primrosespar.JobID
	p.packer.VisitCells(p.packer.Slices(b, 0, b.Size(), 0), func(c packer.Cell, s packer.State) {
		if s == packer.Unavailable {
			ok = false
		}
		if c.Holder == "" || c.Holder == last {
			return
		}
		last = c.Holder
		if g := p.gangs[c.Holder]; g != nil {
			expected := g.startedAt.Add(p.estimate(g).Typical)
			if expected.Before(now) {
				expected = now.Add(now.Sub(g.startedAt))
			}
			if expected.After(end) {
				end = expected
			}
		}
	})
	return end, ok
}

// broken reports whether a worker of the reservation failed or a gang of
// higher rank was placed in it.
func (p *Planner) broken(r *reservation) bool {
	broken := false
	for _, blocks := range r.blocks {
		for _, b := range blocks {
			p.packer.VisitCells(p.packer.Slices(b, 0, b.Size(), 0), func(c packer.Cell, s packer.State) {
				g := p.gangs[c.Holder]
				broken = broken || s == packer.Unavailable || g != nil && g.rank < r.holder.rank && g.startedAt.After(r.madeAt)
			})
		}
	}
	return broken
}
