package packer

import (
	"slices"

	"primrosespar.example/primrosespar"
)

// Locate returns the block of the level that holds the slice's first cell.
func (p *Packer) Locate(s primrosespar.Slice, level int) (Block, bool) {
	w := p.workers[s.Worker]
	if w == nil || s.First < 0 || s.First >= len(w.cells) {
		return Block{}, false
	}
	at := w.offset + s.First
	return Block{Rack: w.entry.Rack, Start: at &^ (1<<level - 1), Level: level}, true
}

// Without returns the supply of the view after the block is taken out of it;
// it reports false if the block is not wholly in the view.
func (p *Packer) Without(v View, b Block) (Counts, bool) {
	supply := p.counts[v]
	r := p.racks[b.Rack]
	if r == nil || b.Start+b.Size() > r.trees[v].size {
		return supply, false
	}
	t := &r.trees[v]
	index := (t.size + b.Start) >> b.Level
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

// Sub returns count cells from the offset of the slices, in their order, for
// the member.
func Sub(slices []primrosespar.Slice, offset, count, member int) []primrosespar.Slice {
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

func (t *tree) count(leaf int, on bool) {
	change := int32(-1)
	if on {
		change = 1
	}
	for n := leaf; n > 0; n /= 2 {
		t.open[n] += change
	}
}

// Tighter reports whether the surroundings of block a have fewer cells of the
// view than those of block b of the same level, from the smallest surrounding
// block up.
func (p *Packer) Tighter(v View, a, b Block) bool {
	ra, rb := p.racks[a.Rack], p.racks[b.Rack]
	if ra == nil || rb == nil {
		return false
	}
	ta, tb := &ra.trees[v], &rb.trees[v]
	x, y := (ta.size+a.Start)>>a.Level, (tb.size+b.Start)>>b.Level
	for x, y = x/2, y/2; x > 0 && y > 0; x, y = x/2, y/2 {
		if ta.open[x] != tb.open[y] {
			return ta.open[x] < tb.open[y]
		}
	}
	return false
}

// Blocks visits every aligned block of the level that has no dead place in the
// line, in order, until visit returns false.
func (p *Packer) Blocks(level int, visit func(Block) bool) {
	for _, name := range p.names {
		r := p.racks[name]
		for start := 0; start+1<<level <= len(r.line); start += 1 << level {
			if slices.Contains(r.line[start:start+1<<level], nil) {
				continue
			}
			if !visit(Block{Rack: name, Start: start, Level: level}) {
				return
			}
		}
	}
}
