package planner

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// host is one worker with its use of cores and memory.
type host struct {
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

func (h *host) kind() kind {
	return kind{h.entry.Accelerators, need{h.entry.Cores, h.entry.MemoryBytes}}
}

func (h *host) left() need {
	return need{h.entry.Cores - h.used.cores, h.entry.MemoryBytes - h.used.memory}
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
func roomier(a, b *host) bool {
	x, y := a.left(), b.left()
	return cmp.Or(
		cmp.Compare(min(a.entry.Accelerators, 1), min(b.entry.Accelerators, 1)),
		cmp.Compare(x.cores, y.cores),
		cmp.Compare(x.memory, y.memory),
		cmp.Compare(a.entry.Worker, b.entry.Worker),
	) < 0
}

func (p *Planner) setHost(e primrosespar.WorkerEntry) {
	h := p.hosts[e.Worker]
	if h == nil {
		h = &host{gangs: map[primrosespar.JobID]*gang{}}
		p.hosts[e.Worker] = h
	} else {
		p.spare.Delete(h)
		if p.kinds[h.kind()]--; p.kinds[h.kind()] == 0 {
			delete(p.kinds, h.kind())
		}
	}
	e.Tasks = nil
	h.entry = e
	h.usable = e.Alive && !e.Leaving
	p.kinds[h.kind()]++
	p.spare.ReplaceOrInsert(h)
}

// noteCheckpoints remembers which running gangs have a checkpoint that is
// newer than the last plan.
func (p *Planner) noteCheckpoints(e primrosespar.WorkerEntry) {
	for _, t := range e.Tasks {
		if g := p.gangs[t.Gang]; g != nil && t.Checkpointed && g.phase == phaseRunning {
			p.checkpointed[t.Gang] = g
		}
	}
}

// use adds the gang's cores and memory to its workers, or takes them off.
func (p *Planner) use(g *gang, sign int) {
	for _, s := range g.slices {
		if h := p.hosts[s.Worker]; h != nil {
			p.useSlice(h, g, s, sign)
		}
	}
}

func (p *Planner) useSlice(h *host, g *gang, s primrosespar.Slice, sign int) {
	p.spare.Delete(h)
	h.used = h.used.plus(g.need.part(s.Count, g.job.Shape.Block), sign)
	p.spare.ReplaceOrInsert(h)
	if sign > 0 {
		h.gangs[g.job.ID] = g
	} else {
		delete(h.gangs, g.job.ID)
	}
}

// roomFor reports whether the workers of the slices have the cores and memory
// for the gang's members on them. Work that must not be preempted may use only
// the share that its accelerators bring along, so that it never takes what a
// claim on the other accelerators of the worker needs.
func (p *Planner) roomFor(g *gang, taken []primrosespar.Slice) bool {
	return p.eachWorker(g, taken, func(h *host, count int, want need) bool {
		if !h.left().holds(want) {
			return false
		}
		return g.preemptible() || h.kind().share(count).holds(want)
	})
}

// eachWorker calls f once per worker with the accelerators and the need of the
// gang's members there until f returns false.
func (p *Planner) eachWorker(g *gang, taken []primrosespar.Slice, f func(*host, int, need) bool) bool {
	for i := 0; i < len(taken); {
		name, count, want := taken[i].Worker, 0, need{}
		for ; i < len(taken) && taken[i].Worker == name; i++ {
			count += taken[i].Count
			want = want.plus(g.need.part(taken[i].Count, g.job.Shape.Block), 1)
		}
		if h := p.hosts[name]; h == nil || !f(h, count, want) {
			return false
		}
	}
	return true
}

// crowd adds to the victims the borrowed gangs that must leave the workers of
// the slices for their cores and memory, least lost work first. It reports
// false if that is not enough.
func (p *Planner) crowd(g *gang, taken []primrosespar.Slice, victims map[primrosespar.JobID]*gang, now time.Time) bool {
	return p.eachWorker(g, taken, func(h *host, _ int, want need) bool {
		left := h.left()
		for id, v := range h.gangs {
			if victims[id] != nil {
				left = left.plus(v.needOn(h), 1)
			}
		}
		if left.holds(want) {
			return true
		}
		for _, v := range h.borrowers(now) {
			if victims[v.job.ID] != nil {
				continue
			}
			victims[v.job.ID] = v
			left = left.plus(v.needOn(h), 1)
			if left.holds(want) {
				return true
			}
		}
		return false
	})
}

// needOn is what the gang uses on the worker.
func (g *gang) needOn(h *host) need {
	var sum need
	for _, s := range g.slices {
		if s.Worker == h.entry.Worker {
			sum = sum.plus(g.need.part(s.Count, g.job.Shape.Block), 1)
		}
	}
	return sum
}

// borrowers lists the borrowed gangs on the worker, least lost work first.
func (h *host) borrowers(now time.Time) []*gang {
	var out []*gang
	for _, g := range h.gangs {
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
