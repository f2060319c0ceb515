package packer

import (
	"cmp"
	"slices"

	"primrosespar.example/primrosespar"
)

// maxGap bounds the positions for which a gap in a rack keeps room, so that
// one wrong position can't make a rack arbitrarily long.
const maxGap = 64

type tree struct {
	leaves int
	full   []bool
	// cellsBelow counts the cells of the view below each tree index.
	cellsBelow []int32
}

type rack struct {
	name    primrosespar.Rack
	workers []*worker
	// workerAt maps a place in the rack to its worker, nil for a dead place.
	workerAt []*worker
	trees    [viewCount]tree
}

type worker struct {
	entry  primrosespar.WorkerEntry
	usable bool
	offset int
	cells  []Cell
}

func (r *rack) blockOf(index, level int) Block {
	first := r.trees[0].leaves >> level
	return Block{Rack: r.name, Start: (index - first) << level, Level: level}
}

// SetWorkers takes new or changed workers. Workers for which blocked returns
// true take no new work, as those that are leaving or not alive. It reports
// whether any rack was laid out anew.
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

func sameLayout(a, b primrosespar.WorkerEntry) bool {
	return a.Rack == b.Rack && a.Position == b.Position && a.Accelerators == b.Accelerators
}

// resize keeps the state of accelerators that remain.
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

func (p *Packer) detach(w *worker) {
	r := p.racks[w.entry.Rack]
	p.cellCount -= len(w.cells)
	for i := range w.cells {
		p.stateCounts[w.state(i)]--
	}
	r.workers = slices.DeleteFunc(r.workers, func(m *worker) bool { return m == w })
}

// layout gives each worker its place in the line. A worker starts at a
// multiple of its own size, so that a block no larger than a worker stands on
// one worker; skipped places are dead.
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

// updateViews brings the cell's membership in both views up to date.
func (p *Packer) updateViews(w *worker, i int) {
	r := p.racks[w.entry.Rack]
	s := w.state(i)
	p.setInView(r, ViewFree, w.offset+i, s == Free)
	p.setInView(r, ViewReclaimable, w.offset+i, (s == Free || s == Preemptible) && !w.cells[i].Bound)
}
