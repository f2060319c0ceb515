package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
)

// worker holds what the planner knows of one worker, and its use of cores
// and memory.
type worker struct {
	entry  primrosespar.WorkerEntry
	usable bool
	used   need
	gangs  map[primrosespar.JobID]*gang
}

// kind groups workers of one size.
type kind struct {
	accelerators int
	size         need
}

func (w *worker) kind() kind {
	return kind{w.entry.Accelerators, need{w.entry.Cores, w.entry.MemoryBytes}}
}

func (w *worker) left() need {
	return need{w.entry.Cores - w.used.cores, w.entry.MemoryBytes - w.used.memory}
}

// share is what count accelerators of a worker of this kind bring along.
func (k kind) share(count int) need {
	if k.accelerators == 0 {
		return k.size
	}
	return need{k.size.cores * count / k.accelerators, k.size.memory * int64(count) / int64(k.accelerators)}
}

func (n need) holds(other need) bool {
	return n.cores >= other.cores && n.memory >= other.memory
}

func (n need) plus(other need, sign int) need {
	return need{n.cores + sign*other.cores, n.memory + int64(sign)*other.memory}
}

// part is the share of a member's need that falls on count of its block
// accelerators, rounded up.
func (n need) part(count, block int) need {
	if block == 0 {
		return n
	}
	b := int64(block)
	return need{(n.cores*count + block - 1) / block, (n.memory*int64(count) + b - 1) / b}
}

// roomier orders workers without accelerators first, then by free cores, so
// that a member without accelerators finds the tightest fit.
func roomier(a, b *worker) bool {
	x, y := a.left(), b.left()
	return cmp.Or(
		cmp.Compare(min(a.entry.Accelerators, 1), min(b.entry.Accelerators, 1)),
		cmp.Compare(x.cores, y.cores),
		cmp.Compare(x.memory, y.memory),
		cmp.Compare(a.entry.Worker, b.entry.Worker),
	) < 0
}

// setWorker takes the worker and reports whether it offers more or less than
// before.
func (p *Planner) setWorker(e primrosespar.WorkerEntry) bool {
	w := p.workers[e.Worker]
	var old kind
	usable := false
	if w == nil {
		w = &worker{gangs: map[primrosespar.JobID]*gang{}}
		p.workers[e.Worker] = w
	} else {
		old, usable = w.kind(), w.usable
		p.spare.Delete(w)
		if p.kinds[w.kind()]--; p.kinds[w.kind()] == 0 {
			delete(p.kinds, w.kind())
		}
	}
	e.Tasks = nil
	w.entry = e
	w.usable = e.Alive && !e.Leaving
	p.kinds[w.kind()]++
	p.spare.ReplaceOrInsert(w)
	return w.usable != usable || w.kind() != old
}

// noteTasks takes the use that running members report, and notes the gangs of
// which all members have a checkpoint since the last plan.
func (p *Planner) noteTasks(e primrosespar.WorkerEntry) {
	for _, t := range e.Tasks {
		g := p.gangs[t.Gang]
		if g == nil || g.phase != phaseRunning {
			continue
		}
		g.peak.Cores = max(g.peak.Cores, int(math.Ceil(t.UsedCores)))
		g.peak.MemoryBytes = max(g.peak.MemoryBytes, t.UsedMemoryBytes)
		if !t.Checkpointed {
			delete(g.marks, t.Member)
			continue
		}
		if g.marks[t.Member] {
			continue
		}
		g.marks[t.Member] = true
		if len(g.marks) == g.job.Shape.Members {
			p.checkpointed[t.Gang] = g
		}
	}
}

// needOf is the larger of declared and learned size. The learned part is
// limited to what the job was admitted for: the share of its accelerators for
// work that must not be preempted, else the largest worker.
func (p *Planner) needOf(job primrosespar.Job) need {
	declared := estimator.Size{Cores: job.Shape.Cores, MemoryBytes: job.Shape.MemoryBytes}
	learned := p.estimator.Size(job.Account, job.Class, declared)
	firm := job.Claim || !job.Preemptible
	var most need
	for k := range p.kinds {
		room := k.size
		if job.Shape.Block > 0 {
			if k.accelerators == 0 {
				continue
			}
			room = k.roomOf(job.Shape.Block, firm)
		}
		if most == (need{}) {
			most = room
		}
		if firm && job.Shape.Block > 0 {
			most = need{min(most.cores, room.cores), min(most.memory, room.memory)}
			continue
		}
		most = need{max(most.cores, room.cores), max(most.memory, room.memory)}
	}
	return need{
		max(declared.Cores, min(learned.Cores, most.cores)),
		max(declared.MemoryBytes, min(learned.MemoryBytes, most.memory)),
	}
}

// use adds the gang's cores and memory to its workers, or takes them off.
func (p *Planner) use(g *gang, sign int) {
	for _, s := range g.slices {
		if w := p.workers[s.Worker]; w != nil {
			p.useSlice(w, g, s, sign)
		}
	}
}

func (p *Planner) useSlice(w *worker, g *gang, s primrosespar.Slice, sign int) {
	p.spare.Delete(w)
	w.used = w.used.plus(g.need.part(s.Count, g.job.Shape.Block), sign)
	p.spare.ReplaceOrInsert(w)
	if sign > 0 {
		w.gangs[g.job.ID] = g
	} else {
		delete(w.gangs, g.job.ID)
	}
}

// roomFor reports whether the workers of the slices have the cores and memory
// for the gang's members on them. Work that must not be preempted may use only
// the share that its accelerators bring along, so that it never takes what a
// claim on the other accelerators of the worker needs.
func (p *Planner) roomFor(g *gang, taken []primrosespar.Slice) bool {
	if !g.preemptible() && !p.withinShare(g, taken) {
		return false
	}
	return p.eachWorker(g, taken, func(w *worker, _ int, want need) bool {
		return w.left().holds(want)
	})
}

// withinShare reports whether the gang's members need no more than their
// accelerators bring along.
func (p *Planner) withinShare(g *gang, taken []primrosespar.Slice) bool {
	return p.eachWorker(g, taken, func(w *worker, count int, want need) bool {
		return w.kind().share(count).holds(want)
	})
}

// eachWorker calls f once per worker with the accelerators and the need of the
// gang's members there until f returns false.
func (p *Planner) eachWorker(g *gang, taken []primrosespar.Slice, f func(*worker, int, need) bool) bool {
	for i := 0; i < len(taken); {
		name, count, want := taken[i].Worker, 0, need{}
		for ; i < len(taken) && taken[i].Worker == name; i++ {
			count += taken[i].Count
			want = want.plus(g.need.part(taken[i].Count, g.job.Shape.Block), 1)
		}
		if w := p.workers[name]; w == nil || !f(w, count, want) {
			return false
		}
	}
	return true
}

// evictForSize adds to the victims the borrowed gangs that must leave the workers of
// the slices for their cores and memory, least lost work first. It reports
// false if that is not enough.
func (p *Planner) evictForSize(g *gang, taken []primrosespar.Slice, victims map[primrosespar.JobID]*gang, now time.Time) bool {
	return p.eachWorker(g, taken, func(w *worker, _ int, want need) bool {
		left := w.left()
		for id, v := range w.gangs {
			if victims[id] != nil {
				left = left.plus(v.needOn(w), 1)
			}
		}
		if left.holds(want) {
			return true
		}
		for _, v := range w.borrowers(now) {
			if victims[v.job.ID] != nil {
				continue
			}
			victims[v.job.ID] = v
			left = left.plus(v.needOn(w), 1)
			if left.holds(want) {
				return true
			}
		}
		return false
	})
}

// needOn is what the gang uses on the worker.
func (g *gang) needOn(w *worker) need {
	var sum need
	for _, s := range g.slices {
		if s.Worker == w.entry.Worker {
			sum = sum.plus(g.need.part(s.Count, g.job.Shape.Block), 1)
		}
	}
	return sum
}

// borrowers lists the borrowed gangs on the worker, least lost work first.
func (w *worker) borrowers(now time.Time) []*gang {
	var out []*gang
	for _, g := range w.gangs {
		if g.borrowed {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *gang) int { return cheaper(a, b, now) })
	return out
}

// cheaper orders gangs by the work lost if they are stopped.
func cheaper(a, b *gang, now time.Time) int {
	return cmp.Or(cmp.Compare(a.weighed(now), b.weighed(now)), cmp.Compare(a.sequence, b.sequence))
}

// weighed is the lost run time summed over the gang's accelerators.
func (g *gang) weighed(now time.Time) float64 {
	return g.lost(now).Seconds() * float64(max(g.size(), 1))
}
