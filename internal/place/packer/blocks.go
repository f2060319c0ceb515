package packer

import (
	"slices"

	"primrosespar.example/primrosespar"
)

// BlockAt returns the block of the level that holds the slice's first cell.
func (p *Packer) BlockAt(s primrosespar.Slice, level int) (Block, bool) {
	w := p.workers[s.Worker]
	if w == nil || s.First < 0 || s.First >= len(w.cells) {
		return Block{}, false
	}
	index := w.offset + s.First
	return Block{Rack: w.entry.Rack, Start: index &^ (1<<level - 1), Level: level}, true
}

// SupplyWithout returns the supply of the view after the block is taken out of it;
// it reports false if the block is not wholly in the view.
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

// SubSlices returns count cells from the offset of the slices, in their order, for
// the member.
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

func (t *tree) addCell(leaf int, member bool) {
	change := int32(-1)
	if member {
		change = 1
	}
	for n := leaf; n > 0; n /= 2 {
		t.cellsBelow[n] += change
	}
}

// FitsTighter reports whether the surroundings of block a have fewer cells of the
// view than those of block b of the same level, from the smallest surrounding
// block up.
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

// AlignedBlocks visits every aligned block of the level that has no dead place in the
// line, in order, until visit returns false.
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
