package packer

import (
	"slices"

	"primrosespar.example/primrosespar"
)

// BlockAt returns the block of the level that contains the slice's first cell.
// It reports false if there is no such cell.
func (p *Packer) BlockAt(s primrosespar.Slice, level int) (Block, bool) {
	w := p.workers[s.Worker]
	if w == nil || s.First < 0 || s.First >= len(w.cells) {
		return Block{}, false
	}
	index := w.offset + s.First
	return Block{Rack: w.entry.Rack, Start: index &^ (1<<level - 1), Level: level}, true
}

// SupplyWithout returns the supply of the view without the block. It reports
// false if not all cells of the block are in the view.
func (p *Packer) SupplyWithout(v View, b Block) (Counts, bool) {
	supply := p.counts[v]
	r := p.racks[b.Rack]
	if r == nil || b.Start+b.Size() > r.trees[v].leaves {
		return supply, false
	}
	t := &r.trees[v]
	index := (t.leaves + b.Start) >> b.Level
	if !t.full[index] {
		return supply, false
	}
	level := b.Level
	for ; index > 1 && level+1 < Levels && t.full[index/2]; index /= 2 {
		supply[level]++
		level++
	}
	supply[level]--
	return supply, true
}

// SubSlices returns count cells of the slices from the offset on, in the same
// order, as slices of the member.
func SubSlices(slices []primrosespar.Slice, offset, count, member int) []primrosespar.Slice {
	var out []primrosespar.Slice
	for _, s := range slices {
		if offset >= s.Count {
			offset -= s.Count
			continue
		}
		n := min(s.Count-offset, count)
		if n <= 0 {
			break
		}
		out = append(out, primrosespar.Slice{Worker: s.Worker, Member: member, First: s.First + offset, Count: n})
		offset, count = 0, count-n
	}
	return out
}

// countCell adds the leaf to the counts of its ancestors, or removes it.
func (t *tree) countCell(leaf int, member bool) {
	change := int32(-1)
	if member {
		change = 1
	}
	for n := leaf; n > 0; n /= 2 {
		t.cellsBelow[n] += change
	}
}

// FitsTighter reports whether block a fits more tightly than block b of the
// same level: the smallest enclosing blocks that differ in their number of
// cells in the view decide, and fewer cells are tighter.
func (p *Packer) FitsTighter(v View, a, b Block) bool {
	ra, rb := p.racks[a.Rack], p.racks[b.Rack]
	if ra == nil || rb == nil {
		return false
	}
	ta, tb := &ra.trees[v], &rb.trees[v]
	x, y := (ta.leaves+a.Start)>>a.Level, (tb.leaves+b.Start)>>b.Level
	for x, y = x/2, y/2; x > 0 && y > 0; x, y = x/2, y/2 {
		if ta.cellsBelow[x] != tb.cellsBelow[y] {
			return ta.cellsBelow[x] < tb.cellsBelow[y]
		}
	}
	return false
}

// AlignedBlocks visits all blocks of the level without a gap, whatever the
// state of their cells, in order of racks and positions, until visit returns
// false.
func (p *Packer) AlignedBlocks(level int, visit func(Block) bool) {
	for _, name := range p.rackNames {
		r := p.racks[name]
		for start := 0; start+1<<level <= len(r.workerAt); start += 1 << level {
			if slices.Contains(r.workerAt[start:start+1<<level], nil) {
				continue
			}
			if !visit(Block{Rack: name, Start: start, Level: level}) {
				return
			}
		}
	}
}
