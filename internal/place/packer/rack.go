package packer

import (
	"cmp"
	"slices"

	"primrosespar.example/primrosespar"
)

// maxGap bounds the missing positions that count as a gap between two workers,
// so that one wrong position cannot make a rack arbitrarily long.
const maxGap = 64

// tree is the buddy tree of one rack and view, a binary tree in an array: the
// root has index 1, the children of n have 2n and 2n+1, and each leaf is a cell
// or a gap.
type tree struct {
	// leaves is the number of leaves, a power of two.
	leaves int
	// full is set for each node whose leaves are all in the view, if its level
	// is below Levels.
	full []bool
	// cellsBelow counts the cells of the view below each node.
	cellsBelow []int32
}

// rack is one rack as a sequence of cells.
type rack struct {
	name primrosespar.Rack
	// workers is sorted by position.
	workers []*worker
	// workerAt maps an index in the sequence to its worker, nil for a gap.
	workerAt []*worker
	trees    [viewCount]tree
}

// worker is one worker and its cells.
type worker struct {
	entry primrosespar.WorkerEntry
	// usable is whether the worker takes new work.
	usable bool
	// offset is the index of the first cell in the rack.
	offset int
	cells  []Cell
}

// blockOf returns the block of the tree node at index.
func (r *rack) blockOf(index, level int) Block {
	first := r.trees[0].leaves >> level
	return Block{Rack: r.name, Start: (index - first) << level, Level: level}
}

// SetWorkers adds or updates workers. Those that are leaving, not alive or for
// which blocked returns true take no new work. It reports whether the layout of
// any rack changed.
func (p *Packer) SetWorkers(entries []primrosespar.WorkerEntry, blocked func(primrosespar.Worker) bool) bool {
	changedRacks := map[primrosespar.Rack]bool{}
	for _, e := range entries {
		usable := e.Alive && !e.Leaving && (blocked == nil || !blocked(e.Worker))
		e.Accelerators = max(e.Accelerators, 0)
		e.Tasks = nil
		w, known := p.workers[e.Worker]
		if known && sameLayout(w.entry, e) {
			w.entry = e
			p.setUsable(w, usable)
			continue
		}
		if known {
			changedRacks[w.entry.Rack] = true
			p.detach(w)
		} else {
			w = &worker{}
			p.workers[e.Worker] = w
		}
		w.resize(e)
		w.entry, w.usable = e, usable
		p.attach(w)
		changedRacks[e.Rack] = true
	}
	for name := range changedRacks {
		p.layout(p.racks[name])
	}
	return len(changedRacks) > 0
}

// sameLayout reports whether both entries occupy the same cells of a rack.
func sameLayout(a, b primrosespar.WorkerEntry) bool {
	return a.Rack == b.Rack && a.Position == b.Position && a.Accelerators == b.Accelerators
}

// resize changes the number of cells and keeps the state of those that remain.
func (w *worker) resize(e primrosespar.WorkerEntry) {
	cells := make([]Cell, e.Accelerators)
	copy(cells, w.cells)
	w.cells = cells
}

func (p *Packer) setUsable(w *worker, usable bool) {
	if w.usable == usable {
		return
	}
	for i := range w.cells {
		p.stateCounts[w.state(i)]--
	}
	w.usable = usable
	for i := range w.cells {
		p.stateCounts[w.state(i)]++
		p.updateViews(w, i)
	}
}

// attach adds the worker to its rack and its cells to the counts; layout has to
// follow.
func (p *Packer) attach(w *worker) {
	r := p.racks[w.entry.Rack]
	if r == nil {
		r = &rack{name: w.entry.Rack}
		p.racks[w.entry.Rack] = r
		i, _ := slices.BinarySearch(p.rackNames, r.name)
		p.rackNames = slices.Insert(p.rackNames, i, r.name)
	}
	r.workers = append(r.workers, w)
	slices.SortFunc(r.workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.entry.Position, b.entry.Position), cmp.Compare(a.entry.Worker, b.entry.Worker))
	})
	p.cellCount += len(w.cells)
	for i := range w.cells {
		p.stateCounts[w.state(i)]++
	}
}

// detach removes the worker from its rack and its cells from the counts; layout
// has to follow.
func (p *Packer) detach(w *worker) {
	r := p.racks[w.entry.Rack]
	p.cellCount -= len(w.cells)
	for i := range w.cells {
		p.stateCounts[w.state(i)]--
	}
	r.workers = slices.DeleteFunc(r.workers, func(m *worker) bool { return m == w })
}

// layout assigns the indexes of the rack to its workers and rebuilds the trees.
// A worker starts at a multiple of its own size, rounded up to a power of two,
// so that a block no larger than a worker lies on one worker; skipped indexes
// are gaps.
func (p *Packer) layout(r *rack) {
	for v := range r.trees {
		p.clear(r, View(v))
	}
	stride := 1
	for _, w := range r.workers {
		stride = max(stride, 1<<LevelOf(len(w.cells)))
	}
	r.workerAt = r.workerAt[:0]
	for i, w := range r.workers {
		if i > 0 {
			missing := w.entry.Position - r.workers[i-1].entry.Position - 1
			gap := min(max(missing, 0), maxGap)
			r.workerAt = append(r.workerAt, make([]*worker, gap*stride)...)
		}
		if len(w.cells) == 0 {
			continue
		}
		for len(r.workerAt)%(1<<LevelOf(len(w.cells))) != 0 {
			r.workerAt = append(r.workerAt, nil)
		}
		w.offset = len(r.workerAt)
		for range w.cells {
			r.workerAt = append(r.workerAt, w)
		}
	}
	size := 1 << LevelOf(len(r.workerAt))
	for v := range r.trees {
		r.trees[v] = tree{leaves: size, full: make([]bool, 2*size), cellsBelow: make([]int32, 2*size)}
	}
	for _, w := range r.workers {
		for i := range w.cells {
			p.updateViews(w, i)
		}
	}
}

// clear removes all cells of the rack from the view.
func (p *Packer) clear(r *rack, v View) {
	size := r.trees[v].leaves
	for i := range size {
		p.setInView(r, v, i, false)
	}
}

func (w *worker) state(i int) State {
	if !w.usable {
		return Unavailable
	}
	return w.cells[i].use
}

// updateViews adds the cell to both views or removes it, according to its
// state.
func (p *Packer) updateViews(w *worker, i int) {
	r := p.racks[w.entry.Rack]
	s := w.state(i)
	p.setInView(r, ViewFree, w.offset+i, s == Free)
	p.setInView(r, ViewReclaimable, w.offset+i, (s == Free || s == Preemptible) && !w.cells[i].Bound)
}
