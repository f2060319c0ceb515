package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/indexer"
)

// pool holds the announced workers of one service.
type pool struct {
	// racks are ordered by name.
	racks []*rack
	index indexer.Indexer
	// total is the number of accelerators, closed that of the workers at places
	// that accept no work, which are in no rack.
	total  int
	closed int
}

// rackKey identifies a rack of one service and place.
type rackKey struct {
	service primrosespar.Service
	place   primrosespar.Place
	rack    primrosespar.Rack
}

// rack is a rack with its workers, ordered by name.
type rack struct {
	key     rackKey
	pool    *pool
	workers []*worker
	index   indexer.Indexer
}

// free returns the unused accelerators of the rack.
func (k *rack) free() int { return k.index.Free() }

// pool returns the pool of a service, which may have no workers.
func (s *Scheduler) pool(service primrosespar.Service) *pool {
	if p := s.pools[service]; p != nil {
		return p
	}
	return &pool{}
}

// groupRacks groups the announced workers by service and rack.
func (s *Scheduler) groupRacks() {
	s.emptyRackFits = map[emptyRackShape]bool{}
	slices.SortFunc(s.announced, func(a, b *worker) int {
		return strings.Compare(string(a.info.Worker), string(b.info.Worker))
	})
	for _, w := range s.workers {
		w.rack = nil
	}
	s.pools = map[primrosespar.Service]*pool{}
	byKey := map[rackKey]*rack{}
	for _, w := range s.announced {
		if w.closed {
			s.addPool(w.info.Service).closed += w.info.Capacity.Accelerators
			continue
		}
		key := rackKey{w.info.Service, w.info.Place, w.info.Rack}
		if byKey[key] == nil {
			byKey[key] = s.addRack(key)
		}
		byKey[key].add(w)
	}
	for _, p := range s.pools {
		slices.SortFunc(p.racks, func(a, b *rack) int {
			return cmp.Or(strings.Compare(string(a.key.rack), string(b.key.rack)), strings.Compare(string(a.key.place), string(b.key.place)))
		})
	}
}

// addPool returns the pool of a service, which is added if there is none.
func (s *Scheduler) addPool(service primrosespar.Service) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{}
		s.pools[service] = p
	}
	return p
}

// addRack adds an empty rack to the pool of its service.
func (s *Scheduler) addRack(key rackKey) *rack {
	p := s.addPool(key.service)
	k := &rack{key: key, pool: p}
	p.racks = append(p.racks, k)
	return k
}

// add adds a worker to the rack.
func (k *rack) add(w *worker) {
	w.rack, w.indexedFree = k, w.freeAccelerators()
	k.workers = append(k.workers, w)
	k.index.Add(w.indexedFree)
	k.pool.index.Add(w.indexedFree)
	k.pool.total += w.info.Capacity.Accelerators
}

// freeAccelerators returns the accelerators that no run uses.
func (w *worker) freeAccelerators() int { return w.info.Capacity.Accelerators - w.used.Accelerators }

// reindex updates the indexes after the worker's use has changed.
func (w *worker) reindex() {
	free := w.freeAccelerators()
	if w.rack == nil || free == w.indexedFree {
		return
	}
	w.rack.index.Move(w.indexedFree, free)
	w.rack.pool.index.Move(w.indexedFree, free)
	w.indexedFree = free
}

// mayHold reports whether the workers of an index may have room for the unit, by
// their accelerators alone.
func mayHold(index *indexer.Indexer, u *unit) bool {
	need := u.step.spec.Need.Accelerators
	return index.Free() >= u.size*need && index.Room(need, u.size) == u.size
}

// mayHoldOne reports whether the worker may have room for a task of the unit,
// by its accelerators alone.
func (w *worker) mayHoldOne(u *unit) bool { return w.indexedFree >= u.step.spec.Need.Accelerators }
