package packer

import "primrosespar.example/primrosespar"

// Slices returns the accelerators offset to offset+count-1 of the block as
// slices of the member, one for each worker that the run touches.
func (p *Packer) Slices(b Block, offset, count, member int) []primrosespar.Slice {
	var out []primrosespar.Slice
	r := p.racks[b.Rack]
	for i := b.Start + offset; i < b.Start+offset+count; i++ {
		if r == nil || i >= len(r.line) || r.line[i] == nil {
			continue
		}
		w := r.line[i]
		if n := len(out); n > 0 && out[n-1].Worker == w.entry.Worker {
			out[n-1].Count++
			continue
		}
		out = append(out, primrosespar.Slice{Worker: w.entry.Worker, Member: member, First: i - w.offset, Count: 1})
	}
	return out
}

// change applies f to each cell of the slices and updates both views.
func (p *Packer) change(slices []primrosespar.Slice, f func(*Cell)) {
	for _, s := range slices {
		w := p.workers[s.Worker]
		if w == nil {
			continue
		}
		for i := s.First; i < min(s.First+s.Count, len(w.cells)); i++ {
			p.states[w.state(i)]--
			f(&w.cells[i])
			p.states[w.state(i)]++
			p.refresh(w, i)
		}
	}
}

// Hold gives the cells to the job.
func (p *Packer) Hold(slices []primrosespar.Slice, id primrosespar.JobID, held State) {
	p.change(slices, func(c *Cell) { c.Holder, c.held = id, held })
}

// Reserve lets the job take the cells over: at once where they are free,
// otherwise when their holder releases them.
func (p *Packer) Reserve(slices []primrosespar.Slice, id primrosespar.JobID) {
	p.change(slices, func(c *Cell) {
		c.held = NonPreemptible
		if c.Holder == "" {
			c.Holder = id
			return
		}
		c.Next = id
	})
}

// Release gives up what the job holds or has reserved of the cells. A cell
// that another job reserved goes to that job.
func (p *Packer) Release(slices []primrosespar.Slice, id primrosespar.JobID) {
	p.change(slices, func(c *Cell) {
		if c.Next == id {
			c.Next, c.held = "", Preemptible
			return
		}
		if c.Holder != id {
			return
		}
		c.Holder, c.Next = c.Next, ""
		if c.Holder == "" {
			c.held = Free
		}
	})
}

// Bind takes the cells out of the reclaimable blocks, or puts them back.
func (p *Packer) Bind(slices []primrosespar.Slice, bound bool) {
	p.change(slices, func(c *Cell) { c.Bound = bound })
}

// Visit calls f with the state of each cell of the slices.
func (p *Packer) Visit(slices []primrosespar.Slice, f func(Cell, State)) {
	for _, s := range slices {
		w := p.workers[s.Worker]
		if w == nil {
			continue
		}
		for i := s.First; i < min(s.First+s.Count, len(w.cells)); i++ {
			f(w.cells[i], w.state(i))
		}
	}
}

// Whole returns the maximal blocks that the place would have if all its
// accelerators were alive and free.
func (p *Packer) Whole() Counts {
	var c Counts
	for _, r := range p.racks {
		t := r.trees[ViewFree]
		if t.size == 0 {
			continue
		}
		r.whole(1, LevelOf(t.size), t.size, &c)
	}
	return c
}

// whole counts the maximal blocks of the subtree at index and reports whether the
// whole subtree is one.
func (r *rack) whole(index, level, size int, c *Counts) {
	first := (index - size>>level) << level
	complete := level < Levels
	for i := first; i < first+1<<level && complete; i++ {
		complete = i < len(r.line) && r.line[i] != nil
	}
	if complete {
		c[level]++
		return
	}
	if level > 0 {
		r.whole(2*index, level-1, size, c)
		r.whole(2*index+1, level-1, size, c)
	}
}
