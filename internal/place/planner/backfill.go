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
	// maxTargets bounds the blocks that a reservation compares.
	maxTargets = 1024
	// patience is how long a job that no reservation can help (it waits for
	// guarantees to be claimed, or for cores) lets younger jobs of its kind
	// pass.
	patience = 10 * time.Minute
)

// target is the reservation of the oldest job that waits for accelerators. Its
// blocks and its start never change while the job waits, so younger work can't
// push it back for ever: once the start has passed nothing new enters.
type target struct {
	holder *gang
	made   time.Time
	start  time.Time
	blocks map[primrosespar.Rack][]packer.Block
}

// clashes reports whether the block overlaps the reservation.
func (t *target) clashes(b packer.Block) bool {
	for _, own := range t.blocks[b.Rack] {
		if own.Start < b.Start+b.Size() && b.Start < own.Start+own.Size() {
			return true
		}
	}
	return false
}

// passes reports whether the gang may use the block ahead of the reserved job.
func (p *Planner) passes(g *gang, b packer.Block, now time.Time) bool {
	t := p.target
	if t == nil || t.holder == g || g.rank < t.holder.rank || !t.clashes(b) {
		return true
	}
	if g.distrusted {
		return false
	}
	run := p.estimate(g)
	return run.Sure && !now.Add(run.High).After(t.start)
}

func (p *Planner) estimate(g *gang) estimator.Run {
	return p.estimator.Run(g.job.Account, g.job.Class, g.job.Declared)
}

// stalls reports whether an older job of the same kind has waited so long that
// this one may not pass it.
func (p *Planner) stalls(g *gang) bool {
	older := p.stalled[g.kind()]
	return older != nil && older != g && g.rank >= older.rank && g.sequence > older.sequence
}

// waitKind separates jobs that do not compete for the same capacity.
type waitKind int

const (
	kindBorrowing waitKind = iota
	kindFirm
	kindSpare
)

func (g *gang) kind() waitKind {
	switch {
	case g.job.Shape.Block == 0:
		return kindSpare
	case g.preemptible():
		return kindBorrowing
	default:
		return kindFirm
	}
}

// noteBlocked remembers for how long the gang could not be placed.
func (p *Planner) noteBlocked(g *gang, code primrosespar.Code, now time.Time) {
	if g.job.Claim || code == primrosespar.CodeQuotaExceeded || code == primrosespar.CodeConcurrencyLimit {
		p.forgetWaiting(g)
		return
	}
	if g.blocked.IsZero() {
		g.blocked = now
	}
	kind := g.kind()
	reserved := code == primrosespar.CodeGuaranteeReserve || kind == kindSpare
	if older := p.stalled[kind]; reserved && now.Sub(g.blocked) >= patience && (older == nil || g.sequence < older.sequence) {
		p.stalled[kind] = g
	}
	if oldest := p.oldest; !reserved && (oldest == nil || cmp.Or(g.rank-oldest.rank, cmp.Compare(g.sequence, oldest.sequence)) < 0) {
		p.oldest = g
	}
}

// forgetWaiting ends the reservation and the precedence of the gang.
func (p *Planner) forgetWaiting(g *gang) {
	if p.target != nil && p.target.holder == g {
		p.target, p.changed = nil, true
	}
	for kind, older := range p.stalled {
		if older == g {
			delete(p.stalled, kind)
		}
	}
	if p.oldest == g {
		p.oldest = nil
	}
	g.blocked = time.Time{}
}

// reserveOldest makes a reservation for the oldest blocked job if there is
// none, or if work of higher rank or a failure took blocks of it.
func (p *Planner) reserveOldest(now time.Time) {
	if p.target != nil && p.broken(p.target) {
		p.oldest, p.target = p.target.holder, nil
	}
	if p.target != nil || p.oldest == nil {
		return
	}
	g := p.oldest
	count, level := units(g.job.Shape)
	type candidate struct {
		block packer.Block
		end   time.Time
	}
	var found []candidate
	tries := maxTargets
	p.pack.Blocks(level, func(b packer.Block) bool {
		if end, ok := p.freeAt(b, now); ok {
			found = append(found, candidate{b, end})
		}
		tries--
		return tries > 0
	})
	if len(found) < count {
		return
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return a.end.Compare(b.end) })
	t := &target{holder: g, made: now, start: now, blocks: map[primrosespar.Rack][]packer.Block{}}
	for _, c := range found[:count] {
		t.blocks[c.block.Rack] = append(t.blocks[c.block.Rack], c.block)
		if c.end.After(t.start) {
			t.start = c.end
		}
	}
	p.target = t
}

// freeAt returns when the gangs on the block are expected to have ended. A
// gang that has outrun its estimate is expected to run as long again.
func (p *Planner) freeAt(b packer.Block, now time.Time) (time.Time, bool) {
	end, ok := now, true
	var last primrosespar.JobID
	p.pack.Visit(p.pack.Slices(b, 0, b.Size(), 0), func(c packer.Cell, s packer.State) {
		if s == packer.Dead {
			ok = false
		}
		if c.Holder == "" || c.Holder == last {
			return
		}
		last = c.Holder
		if g := p.gangs[c.Holder]; g != nil {
			ends := g.started.Add(p.estimate(g).Typical)
			if ends.Before(now) {
				ends = now.Add(now.Sub(g.started))
			}
			if ends.After(end) {
				end = ends
			}
		}
	})
	return end, ok
}

// broken reports whether a worker of the reservation failed or a gang of
// higher rank entered it.
func (p *Planner) broken(t *target) bool {
	broken := false
	for _, blocks := range t.blocks {
		for _, b := range blocks {
			p.pack.Visit(p.pack.Slices(b, 0, b.Size(), 0), func(c packer.Cell, s packer.State) {
				g := p.gangs[c.Holder]
				broken = broken || s == packer.Dead || g != nil && g.rank < t.holder.rank && g.started.After(t.made)
			})
		}
	}
	return broken
}
