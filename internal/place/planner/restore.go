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

// bindings describes the guaranteed blocks that the gang draws on.
func (g *gang) bindings() []primrosespar.Binding {
	var out []primrosespar.Binding
	seen := map[*guarantee]int{}
	for _, q := range g.draws {
		i, known := seen[q]
		if !known {
			i = len(out)
			seen[q] = i
			out = append(out, primrosespar.Binding{Block: 1 << q.level, Cells: q.cells})
		}
		out[i].Units++
	}
	return out
}

// rebindCommitted lets the gang draw on the blocks that it was committed with.
// It reports false for a row without bindings. A block that the contract no
// longer guarantees stays bound until its claims end, as for the holder that
// placed them.
func (p *Planner) rebindCommitted(g *gang, bindings []primrosespar.Binding) bool {
	want, _ := units(g.job.Shape)
	for _, b := range bindings {
		if len(b.Cells) == 0 {
			return false
		}
		want -= b.Units
	}
	if want != 0 {
		return false
	}
	for _, b := range bindings {
		q := p.guaranteeAt(g.account, b)
		for range b.Units {
			q.draws++
			g.draws = append(g.draws, q)
		}
	}
	return true
}

// guaranteeAt returns the guarantee that is bound to the cells of the binding,
// else binds an unclaimed one.
func (p *Planner) guaranteeAt(a *account, b primrosespar.Binding) *guarantee {
	level := packer.LevelOf(b.Block)
	for _, q := range a.guarantees {
		if q.draws > 0 && q.level == level && coversSlice(q.cells, b.Cells[0]) {
			return q
		}
	}
	for _, q := range a.guarantees {
		if q.draws == 0 && !q.ended && q.level == level {
			p.bind(q, b.Cells)
			return q
		}
	}
	q := &guarantee{account: a, level: level, ended: true}
	a.guarantees = append(a.guarantees, q)
	p.bind(q, b.Cells)
	return q
}

// settleRestored binds guaranteed blocks to the restored claims whose rows have
// no bindings. A claim alone may fit several of its account's blocks, so all of
// them are bound together, such that the unclaimed blocks pack.
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
	for _, q := range d.gang.account.guarantees {
		if q.draws > 0 && coversSlice(q.cells, d.slice) {
			return p.tryDraw(q, nil, draws, tries, strict)
		}
	}
	last := -1
	for _, q := range d.gang.account.guarantees {
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

// tryDraw lets the first draw use the guarantee and goes on with the others; it
// undoes that if they can't be bound.
func (p *Planner) tryDraw(q *guarantee, cells []primrosespar.Slice, draws []draw, tries *int, strict bool) bool {
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
