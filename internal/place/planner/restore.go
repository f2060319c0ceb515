package planner

import (
	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// maxRebinds bounds the bindings that a takeover tries.
const maxRebinds = 4096

// draw is one unit of a restored claim.
type draw struct {
	gang  *gang
	slice primrosespar.Slice
	level int
}

// settleRestored binds guaranteed blocks to the restored claims. The binding is
// not part of a committed gang and a claim alone may fit several of its
// account's blocks, so all restored claims are bound together, such that the
// unclaimed blocks pack.
func (p *Planner) settleRestored() {
	if len(p.restored) == 0 {
		return
	}
	var draws []draw
	for _, g := range p.restored {
		count, level := units(g.job.Shape)
		first := map[int]primrosespar.Slice{}
		for _, s := range g.slices {
			if _, seen := first[s.Member]; !seen {
				first[s.Member] = s
			}
		}
		for i := range count {
			member, _ := unit(g.job.Shape, i)
			draws = append(draws, draw{g, first[member], level})
		}
	}
	tries := maxRebinds
	if !p.rebind(draws, &tries, true) {
		tries = maxRebinds
		p.rebind(draws, &tries, false)
	}
	for _, g := range p.restored {
		p.hold(g)
	}
	p.restored = nil
	p.changed = true
}

// rebind binds the draws one after the other and goes back where that does not
// lead to a binding with which the unclaimed blocks pack. If not strict it
// takes the first binding, also onto blocks with failed workers.
func (p *Planner) rebind(draws []draw, tries *int, strict bool) bool {
	*tries--
	if *tries < 0 {
		return !strict
	}
	if len(draws) == 0 {
		return !strict || p.pack.Packs(p.demand)
	}
	d := draws[0]
	for _, q := range d.gang.account.promises {
		if q.draws > 0 && coversSlice(q.cells, d.slice) {
			return p.tryDraw(q, nil, draws, tries, strict)
		}
	}
	last := -1
	for _, q := range d.gang.account.promises {
		if q.draws > 0 || q.ended || q.level < d.level || q.level == last {
			continue
		}
		last = q.level
		b, ok := p.pack.Locate(d.slice, q.level)
		if !ok {
			continue
		}
		if _, whole := p.pack.Without(packer.ViewReclaimable, b); strict && !whole {
			continue
		}
		if p.tryDraw(q, p.pack.Slices(b, 0, b.Size(), 0), draws, tries, strict) {
			return true
		}
	}
	return !strict && p.rebind(draws[1:], tries, strict)
}

// tryDraw lets the first draw use the promise and goes on with the others; it
// undoes that if they can't be bound.
func (p *Planner) tryDraw(q *promise, cells []primrosespar.Slice, draws []draw, tries *int, strict bool) bool {
	g := draws[0].gang
	if cells != nil {
		p.bind(q, cells)
	}
	q.draws++
	g.draws = append(g.draws, q)
	if p.rebind(draws[1:], tries, strict) {
		return true
	}
	g.draws = g.draws[:len(g.draws)-1]
	q.draws--
	if q.draws == 0 {
		p.pack.Bind(q.cells, false)
		q.cells = nil
		p.demand[q.level]++
	}
	return false
}

func coversSlice(cells []primrosespar.Slice, s primrosespar.Slice) bool {
	for _, c := range cells {
		if c.Worker == s.Worker && c.First <= s.First && s.First < c.First+c.Count {
			return true
		}
	}
	return false
}
