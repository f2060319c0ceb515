package planner

import (
	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// maxBindAttempts bounds the search for bindings after a takeover.
const maxBindAttempts = 4096

// claimUnit is one unit of a restored claim.
type claimUnit struct {
	gang  *gang
	slice primrosespar.Slice
	level int
}

// bindings returns the guaranteed blocks that the gang uses, with its units in
// each.
func (g *gang) bindings() []primrosespar.Binding {
	var out []primrosespar.Binding
	seen := map[*guaranteedBlock]int{}
	for _, gb := range g.unitBlocks {
		i, listed := seen[gb]
		if !listed {
			i = len(out)
			seen[gb] = i
			out = append(out, primrosespar.Binding{Block: 1 << gb.level, Cells: gb.cells})
		}
		out[i].Units++
	}
	return out
}

// restoreBindings places the gang in the guaranteed blocks that it was
// committed with. It reports false if the row has no bindings for all units. A
// block that the contract no longer guarantees stays bound until its claims
// end, as with the holder that placed them.
func (p *Planner) restoreBindings(g *gang, bindings []primrosespar.Binding) bool {
	unboundUnits, _ := units(g.job.Shape)
	for _, b := range bindings {
		if len(b.Cells) == 0 {
			return false
		}
		unboundUnits -= b.Units
	}
	if unboundUnits != 0 {
		return false
	}
	for _, b := range bindings {
		gb := p.guaranteedBlockAt(g.account, b)
		for range b.Units {
			gb.claimedUnits++
			g.unitBlocks = append(g.unitBlocks, gb)
		}
	}
	return true
}

// guaranteedBlockAt returns the guaranteed block that is bound to the cells of
// the binding. If there is none, it binds an unclaimed one, or one that counts
// as removed from the contract.
func (p *Planner) guaranteedBlockAt(a *account, b primrosespar.Binding) *guaranteedBlock {
	level := packer.LevelOf(b.Block)
	for _, gb := range a.guaranteedBlocks {
		if gb.claimedUnits > 0 && gb.level == level && coversSlice(gb.cells, b.Cells[0]) {
			return gb
		}
	}
	for _, gb := range a.guaranteedBlocks {
		if gb.claimedUnits == 0 && !gb.removed && gb.level == level {
			p.bind(gb, b.Cells)
			return gb
		}
	}
	gb := &guaranteedBlock{account: a, level: level, removed: true}
	a.guaranteedBlocks = append(a.guaranteedBlocks, gb)
	p.bind(gb, b.Cells)
	return gb
}

// bindRestored binds guaranteed blocks to the restored claims whose rows have
// no bindings. One claim may fit several blocks of its account, so all claims
// are bound together such that the unclaimed blocks still fit.
func (p *Planner) bindRestored() {
	if len(p.restored) == 0 {
		return
	}
	var claimUnits []claimUnit
	for _, g := range p.restored {
		count, level := units(g.job.Shape)
		first := map[int]primrosespar.Slice{}
		for _, s := range g.slices {
			if _, seen := first[s.Member]; !seen {
				first[s.Member] = s
			}
		}
		for i := range count {
			member, _ := membersOfUnit(g.job.Shape, i)
			claimUnits = append(claimUnits, claimUnit{g, first[member], level})
		}
	}
	remaining := maxBindAttempts
	if !p.bindUnits(claimUnits, &remaining, true) {
		remaining = maxBindAttempts
		p.bindUnits(claimUnits, &remaining, false)
	}
	for _, g := range p.restored {
		p.hold(g)
	}
	p.restored = nil
	p.capacityChanged = true
}

// bindUnits binds the units one after the other and backtracks if the unclaimed
// blocks do not fit with the result. If not strict, it takes the first binding,
// even to blocks with failed workers.
func (p *Planner) bindUnits(claimUnits []claimUnit, remaining *int, strict bool) bool {
	*remaining--
	if *remaining < 0 {
		return !strict
	}
	if len(claimUnits) == 0 {
		return !strict || p.packer.Packs(p.demand)
	}
	u := claimUnits[0]
	for _, gb := range u.gang.account.guaranteedBlocks {
		if gb.claimedUnits > 0 && coversSlice(gb.cells, u.slice) {
			return p.tryBlock(gb, nil, claimUnits, remaining, strict)
		}
	}
	lastLevel := -1
	for _, gb := range u.gang.account.guaranteedBlocks {
		if gb.claimedUnits > 0 || gb.removed || gb.level < u.level || gb.level == lastLevel {
			continue
		}
		lastLevel = gb.level
		b, ok := p.packer.BlockAt(u.slice, gb.level)
		if !ok {
			continue
		}
		if _, available := p.packer.SupplyWithout(packer.ViewReclaimable, b); strict && !available {
			continue
		}
		if p.tryBlock(gb, p.packer.Slices(b, 0, b.Size(), 0), claimUnits, remaining, strict) {
			return true
		}
	}
	return !strict && p.bindUnits(claimUnits[1:], remaining, strict)
}

// tryBlock puts the first unit into the guaranteed block and binds the others.
// If they cannot be bound, it undoes the first.
func (p *Planner) tryBlock(gb *guaranteedBlock, cells []primrosespar.Slice, claimUnits []claimUnit, remaining *int, strict bool) bool {
	g := claimUnits[0].gang
	if cells != nil {
		p.bind(gb, cells)
	}
	gb.claimedUnits++
	g.unitBlocks = append(g.unitBlocks, gb)
	if p.bindUnits(claimUnits[1:], remaining, strict) {
		return true
	}
	g.unitBlocks = g.unitBlocks[:len(g.unitBlocks)-1]
	gb.claimedUnits--
	if gb.claimedUnits == 0 {
		p.packer.Bind(gb.cells, false)
		gb.cells = nil
		p.demand[gb.level]++
	}
	return false
}

// coversSlice reports whether the cells include the first cell of the slice.
func coversSlice(cells []primrosespar.Slice, s primrosespar.Slice) bool {
	for _, c := range cells {
		if c.Worker == s.Worker && c.First <= s.First && s.First < c.First+c.Count {
			return true
		}
	}
	return false
}
