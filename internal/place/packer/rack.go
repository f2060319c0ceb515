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
	size int
	full []bool
	// open counts the cells of the view below each tree index.
	open []int32
}

type rack struct {
	name    primrosespar.Rack
	members []*worker
	// line maps a place in the rack to its worker, nil for a dead place.
	line  []*worker
	trees [views]tree
}

type worker struct {
	entry  primrosespar.WorkerEntry
	usable bool
	offset int
	cells  []Cell
}

func (r *rack) block(index, level int) Block {
	first := r.trees[0].size >> level
	return Block{Rack: r.name, Start: (index - first) << level, Level: level}
}

// SetWorkers takes new or changed workers. Workers for which blocked returns
// true take no new work, as those that are leaving or not alive. It reports
// whether any rack was laid out anew.
func (p *Packer) SetWorkers(entries []primrosespar.WorkerEntry, blocked func(primrosespar.Worker) bool) bool {
	moved := map[primrosespar.Rack]bool{}
	for _, e := range entries {
		usable := e.Alive && !e.Leaving && (blocked == nil || !blocked(e.Worker))
		e.Accelerators = max(e.Accelerators, 0)
		e.Tasks = nil
		w, known := p.workers[e.Worker]
		if known && sameSpot(w.entry, e) {
			w.entry = e
			p.setUsable(w, usable)
			continue
		}
		if known {
			moved[w.entry.Rack] = true
			p.detach(w)
		} else {
			w = &worker{}
			p.workers[e.Worker] = w
		}
		w.resize(e)
		w.entry, w.usable = e, usable
		p.attach(w)
		moved[e.Rack] = true
	}
	for name := range moved {
		p.layout(p.racks[name])
	}
	return len(moved) > 0
}

func sameSpot(a, b primrosespar.WorkerEntry) bool {
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
		p.states[w.state(i)]--
	}
	w.usable = usable
	for i := range w.cells {
		p.states[w.state(i)]++
		p.refresh(w, i)
	}
}

func (p *Packer) attach(w *worker) {
	r := p.racks[w.entry.Rack]
	if r == nil {
		r = &rack{name: w.entry.Rack}
		p.racks[w.entry.Rack] = r
		i, _ := slices.BinarySearch(p.names, r.name)
		p.names = slices.Insert(p.names, i, r.name)
	}
	r.members = append(r.members, w)
	slices.SortFunc(r.members, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.entry.Position, b.entry.Position), cmp.Compare(a.entry.Worker, b.entry.Worker))
	})
	p.cells += len(w.cells)
	for i := range w.cells {
		p.states[w.state(i)]++
	}
}

func (p *Packer) detach(w *worker) {
	r := p.racks[w.entry.Rack]
	p.cells -= len(w.cells)
	for i := range w.cells {
		p.states[w.state(i)]--
	}
	r.members = slices.DeleteFunc(r.members, func(m *worker) bool { return m == w })
}

// layout gives each worker its place in the line. A worker starts at a
// multiple of its own size, so that a block no larger than a worker stands on
// one worker; skipped places are dead.
func (p *Packer) layout(r *rack) {
	for v := range r.trees {
		p.clear(r, View(v))
	}
	stride := 1
	for _, w := range r.members {
		stride = max(stride, 1<<LevelOf(len(w.cells)))
	}
	r.line = r.line[:0]
	for i, w := range r.members {
		if i > 0 {
			missing := w.entry.Position - r.members[i-1].entry.Position - 1
			gap := min(max(missing, 0), maxGap)
			r.line = append(r.line, make([]*worker, gap*stride)...)
		}
		if len(w.cells) == 0 {
			continue
		}
		for len(r.line)%(1<<LevelOf(len(w.cells))) != 0 {
			r.line = append(r.line, nil)
		}
		w.offset = len(r.line)
		for range w.cells {
			r.line = append(r.line, w)
		}
	}
	size := 1 << LevelOf(len(r.line))
	for v := range r.trees {
		r.trees[v] = tree{size: size, full: make([]bool, 2*size), open: make([]int32, 2*size)}
	}
	for _, w := range r.members {
		for i := range w.cells {
			p.refresh(w, i)
		}
	}
}

func (p *Packer) clear(r *rack, v View) {
	size := r.trees[v].size
	for i := range size {
		p.set(r, v, i, false)
	}
}

func (w *worker) state(i int) State {
	if !w.usable {
		return Dead
	}
	return w.cells[i].held
}

// refresh brings the cell's membership in both views up to date.
func (p *Packer) refresh(w *worker, i int) {
	r := p.racks[w.entry.Rack]
	s := w.state(i)
	p.set(r, ViewFree, w.offset+i, s == Free)
	p.set(r, ViewReclaimable, w.offset+i, (s == Free || s == Preemptible) && !w.cells[i].Bound)
}
