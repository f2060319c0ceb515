package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
)

// worker is the last report of one worker, its used cores and memory, and the
// gangs on it.
type worker struct {
	entry  primrosespar.WorkerEntry
	usable bool
	used   resources
	gangs  map[primrosespar.JobID]*gang
}

// workerType groups workers with the same accelerators, cores and memory.
type workerType struct {
	accelerators int
	resources    resources
}

func (w *worker) workerType() workerType {
	return workerType{w.entry.Accelerators, resources{w.entry.Cores, w.entry.MemoryBytes}}
}

func (w *worker) free() resources {
	return resources{w.entry.Cores - w.used.cores, w.entry.MemoryBytes - w.used.memory}
}

// share returns the cores and memory that count accelerators of a worker of
// this type are entitled to: in proportion, all of them on a worker without
// accelerators.
func (wt workerType) share(count int) resources {
	if wt.accelerators == 0 {
		return wt.resources
	}
	return resources{wt.resources.cores * count / wt.accelerators, wt.resources.memory * int64(count) / int64(wt.accelerators)}
}

func (r resources) covers(other resources) bool {
	return r.cores >= other.cores && r.memory >= other.memory
}

func (r resources) add(other resources, sign int) resources {
	return resources{r.cores + sign*other.cores, r.memory + int64(sign)*other.memory}
}

// portion returns the part of a member's resources that falls on count of its
// block accelerators, rounded up.
func (r resources) portion(count, block int) resources {
	if block == 0 {
		return r
	}
	b := int64(block)
	return resources{(r.cores*count + block - 1) / block, (r.memory*int64(count) + b - 1) / b}
}

// lessFree orders workers without accelerators first, then by free cores and
// memory, so that a member without accelerators finds the tightest fit.
func lessFree(a, b *worker) bool {
	x, y := a.free(), b.free()
	return cmp.Or(
		cmp.Compare(min(a.entry.Accelerators, 1), min(b.entry.Accelerators, 1)),
		cmp.Compare(x.cores, y.cores),
		cmp.Compare(x.memory, y.memory),
		cmp.Compare(a.entry.Worker, b.entry.Worker),
	) < 0
}

// setWorker adds or updates the worker and reports whether its capacity
// changed.
func (p *Planner) setWorker(e primrosespar.WorkerEntry) bool {
	w := p.workers[e.Worker]
	var old workerType
	usable := false
	if w == nil {
		w = &worker{gangs: map[primrosespar.JobID]*gang{}}
		p.workers[e.Worker] = w
	} else {
		old, usable = w.workerType(), w.usable
		p.workersByFree.Delete(w)
		if p.workerTypes[w.workerType()]--; p.workerTypes[w.workerType()] == 0 {
			delete(p.workerTypes, w.workerType())
		}
	}
	e.Tasks = nil
	w.entry = e
	w.usable = e.Alive && !e.Leaving
	p.workerTypes[w.workerType()]++
	p.workersByFree.ReplaceOrInsert(w)
	return w.usable != usable || w.workerType() != old
}

// observeTasks records the use that running members report, and the gangs of
// which all members now have a checkpoint.
func (p *Planner) observeTasks(e primrosespar.WorkerEntry) {
	for _, t := range e.Tasks {
		g := p.gangs[t.Gang]
		if g == nil || g.phase != phaseRunning {
			continue
		}
		g.peakUse.Cores = max(g.peakUse.Cores, int(math.Ceil(t.UsedCores)))
		g.peakUse.MemoryBytes = max(g.peakUse.MemoryBytes, t.UsedMemoryBytes)
		if !t.Checkpointed {
			delete(g.checkpointedMembers, t.Member)
			continue
		}
		if g.checkpointedMembers[t.Member] {
			continue
		}
		g.checkpointedMembers[t.Member] = true
		if len(g.checkpointedMembers) == g.job.Shape.Members {
			p.checkpointed[t.Gang] = g
		}
	}
}

// memberResources returns the larger of the declared and the learned size of a
// member. The learned size is limited to what the job was admitted for: the
// share of its accelerators for claims and non-preemptible work, else the
// largest worker.
func (p *Planner) memberResources(job primrosespar.Job) resources {
	declared := estimator.Size{Cores: job.Shape.Cores, MemoryBytes: job.Shape.MemoryBytes}
	learned := p.estimator.Size(job.Account, job.Class, declared)
	nonPreemptible := job.Claim || !job.Preemptible
	var limit resources
	for wt := range p.workerTypes {
		capacity := wt.resources
		if job.Shape.Block > 0 {
			if wt.accelerators == 0 {
				continue
			}
			capacity = wt.memberCapacity(job.Shape.Block, nonPreemptible)
		}
		if limit == (resources{}) {
			limit = capacity
		}
		if nonPreemptible && job.Shape.Block > 0 {
			limit = resources{min(limit.cores, capacity.cores), min(limit.memory, capacity.memory)}
			continue
		}
		limit = resources{max(limit.cores, capacity.cores), max(limit.memory, capacity.memory)}
	}
	return resources{
		max(declared.Cores, min(learned.Cores, limit.cores)),
		max(declared.MemoryBytes, min(learned.MemoryBytes, limit.memory)),
	}
}

// countUse adds the gang's cores and memory to the use of its workers, or
// subtracts them with sign -1.
func (p *Planner) countUse(g *gang, sign int) {
	for _, s := range g.slices {
		if w := p.workers[s.Worker]; w != nil {
			p.countSliceUse(w, g, s, sign)
		}
	}
}

func (p *Planner) countSliceUse(w *worker, g *gang, s primrosespar.Slice, sign int) {
	p.workersByFree.Delete(w)
	w.used = w.used.add(g.memberResources.portion(s.Count, g.job.Shape.Block), sign)
	p.workersByFree.ReplaceOrInsert(w)
	if sign > 0 {
		w.gangs[g.job.ID] = g
	} else {
		delete(w.gangs, g.job.ID)
	}
}

// fitsWorkers reports whether the workers of the slices have enough free cores
// and memory for the gang's members on them. A non-preemptible gang may use
// only the share of its accelerators, so that it never takes what a claim on
// the worker's other accelerators needs.
func (p *Planner) fitsWorkers(g *gang, slices []primrosespar.Slice) bool {
	if !g.preemptible() && !p.withinShare(g, slices) {
		return false
	}
	return p.eachWorker(g, slices, func(w *worker, _ int, required resources) bool {
		return w.free().covers(required)
	})
}

// withinShare reports whether the gang's members need no more cores and memory
// than the share of their accelerators.
func (p *Planner) withinShare(g *gang, slices []primrosespar.Slice) bool {
	return p.eachWorker(g, slices, func(w *worker, count int, required resources) bool {
		return w.workerType().share(count).covers(required)
	})
}

// eachWorker calls f once for each worker of the slices, with the accelerators,
// cores and memory that the gang needs there, until f returns false.
func (p *Planner) eachWorker(g *gang, slices []primrosespar.Slice, f func(*worker, int, resources) bool) bool {
	for i := 0; i < len(slices); {
		name, count, required := slices[i].Worker, 0, resources{}
		for ; i < len(slices) && slices[i].Worker == name; i++ {
			count += slices[i].Count
			required = required.add(g.memberResources.portion(slices[i].Count, g.job.Shape.Block), 1)
		}
		if w := p.workers[name]; w == nil || !f(w, count, required) {
			return false
		}
	}
	return true
}

// preemptForResources adds to the victims the borrowing gangs that must leave
// the workers of the slices to free cores and memory, least lost work first. It
// reports false if that is not enough.
func (p *Planner) preemptForResources(g *gang, slices []primrosespar.Slice, victims map[primrosespar.JobID]*gang, now time.Time) bool {
	return p.eachWorker(g, slices, func(w *worker, _ int, required resources) bool {
		free := w.free()
		for id, v := range w.gangs {
			if victims[id] != nil {
				free = free.add(v.usedOn(w), 1)
			}
		}
		if free.covers(required) {
			return true
		}
		for _, v := range w.borrowers(now) {
			if victims[v.job.ID] != nil {
				continue
			}
			victims[v.job.ID] = v
			free = free.add(v.usedOn(w), 1)
			if free.covers(required) {
				return true
			}
		}
		return false
	})
}

// usedOn returns the cores and memory that the gang uses on the worker.
func (g *gang) usedOn(w *worker) resources {
	var sum resources
	for _, s := range g.slices {
		if s.Worker == w.entry.Worker {
			sum = sum.add(g.memberResources.portion(s.Count, g.job.Shape.Block), 1)
		}
	}
	return sum
}

// borrowers returns the borrowing gangs on the worker, least lost work first.
func (w *worker) borrowers(now time.Time) []*gang {
	var out []*gang
	for _, g := range w.gangs {
		if g.borrowed {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *gang) int { return compareLostWork(a, b, now) })
	return out
}

// compareLostWork orders gangs by the work that they lose if stopped now.
func compareLostWork(a, b *gang, now time.Time) int {
	return cmp.Or(cmp.Compare(a.lostWork(now), b.lostWork(now)), cmp.Compare(a.sequence, b.sequence))
}

// lostWork returns the lost run time in seconds, summed over the gang's
// accelerators.
func (g *gang) lostWork(now time.Time) float64 {
	return g.lostTime(now).Seconds() * float64(max(g.size(), 1))
}
