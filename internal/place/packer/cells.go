package packer

import "primrosespar.example/primrosespar"

// Slices returns the cells offset to offset+count-1 of the block as slices of
// the member, one for each worker.
func (p *Packer) Slices(b Block, offset, count, member int) []primrosespar.Slice {
	var out []primrosespar.Slice
	r := p.racks[b.Rack]
	for i := b.Start + offset; i < b.Start+offset+count; i++ {
		if r == nil || i >= len(r.workerAt) || r.workerAt[i] == nil {
			continue
		}
		w := r.workerAt[i]
		if n := len(out); n > 0 && out[n-1].Worker == w.entry.Worker {
			out[n-1].Count++
			continue
		}
		out = append(out, primrosespar.Slice{Worker: w.entry.Worker, Member: member, First: i - w.offset, Count: 1})
	}
	return out
}

// update applies f to each cell of the slices and updates the state counts and
// both views.
func (p *Packer) update(slices []primrosespar.Slice, f func(*Cell)) {
	for _, s := range slices {
		w := p.workers[s.Worker]
		if w == nil {
			continue
		}
		for i := s.First; i < min(s.First+s.Count, len(w.cells)); i++ {
			p.stateCounts[w.state(i)]--
			f(&w.cells[i])
			p.stateCounts[w.state(i)]++
			p.updateViews(w, i)
		}
	}
}

// Hold gives the cells to the job.
func (p *Packer) Hold(slices []primrosespar.Slice, id primrosespar.JobID, use State) {
	p.update(slices, func(c *Cell) { c.Holder, c.use = id, use })
}

// Reserve gives the cells to the job: free cells at once, the others when their
// holder releases them.
func (p *Packer) Reserve(slices []primrosespar.Slice, id primrosespar.JobID) {
	p.update(slices, func(c *Cell) {
		c.use = NonPreemptible
		if c.Holder == "" {
			c.Holder = id
			return
		}
		c.NextHolder = id
	})
}

// Release frees the cells that the job holds and cancels its reservations of
// others. A freed cell that another job has reserved goes to that job.
func (p *Packer) Release(slices []primrosespar.Slice, id primrosespar.JobID) {
	p.update(slices, func(c *Cell) {
		if c.NextHolder == id {
			c.NextHolder, c.use = "", Preemptible
			return
		}
		if c.Holder != id {
			return
		}
		c.Holder, c.NextHolder = c.NextHolder, ""
		if c.Holder == "" {
			c.use = Free
		}
	})
}

// Bind removes the cells from the reclaimable view, or adds them again if bound
// is false.
func (p *Packer) Bind(slices []primrosespar.Slice, bound bool) {
	p.update(slices, func(c *Cell) { c.Bound = bound })
}

// VisitCells calls f with each cell of the slices and its state.
func (p *Packer) VisitCells(slices []primrosespar.Slice, f func(Cell, State)) {
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

// FullSupply returns the number of maximal blocks of each level if all workers
// took new work and all cells were free.
func (p *Packer) FullSupply() Counts {
	var c Counts
	for _, r := range p.racks {
		t := r.trees[ViewFree]
		if t.leaves == 0 {
			continue
		}
		r.countMaximal(1, LevelOf(t.leaves), t.leaves, &c)
	}
	return c
}

// countMaximal adds the maximal blocks of the subtree at index to c, as if all
// its cells were free. Only gaps split a subtree.
func (r *rack) countMaximal(index, level, size int, c *Counts) {
	first := (index - size>>level) << level
	complete := level < Levels
	for i := first; i < first+1<<level && complete; i++ {
		complete = i < len(r.workerAt) && r.workerAt[i] != nil
	}
	if complete {
		c[level]++
		return
	}
	if level > 0 {
		r.countMaximal(2*index, level-1, size, c)
		r.countMaximal(2*index+1, level-1, size, c)
	}
}
