// Package indexer counts the workers of a group by their free accelerators. It
// answers how many tasks could fit into the group at most without a look at any
// worker.
//
// It serves a fleet under overload, when most of the waiting work does not fit:
// the cost of finding that out must not grow with the number of workers.
//
// # Usage
//
//	var x indexer.Indexer
//	x.Add(8)
//	x.Move(8, 3)
//	if x.Room(2, 4) < 4 {
//		// four tasks of two accelerators do not fit
//	}
package indexer

// maxCounted bounds the free accelerators by which workers are told apart, and
// with them the memory, which must not depend on what a worker says of itself.
const maxCounted = 4096

// Indexer counts workers by free accelerators. The zero value counts none. It
// is not safe for concurrent use.
type Indexer struct {
	// workers holds the number of workers by free accelerators. Overcommitted
	// workers count as having none, those with more than maxCounted as having
	// maxCounted.
	workers []int
	free    int
}

// Add adds a worker with the given free accelerators, which are negative if the
// worker is overcommitted.
func (x *Indexer) Add(free int) { x.count(free, 1) }

// Move changes the free accelerators of a worker.
func (x *Indexer) Move(from, to int) {
	x.count(from, -1)
	x.count(to, 1)
}

// count adds delta workers with the given free accelerators.
func (x *Indexer) count(free, delta int) {
	free = max(free, 0)
	x.free += delta * free
	free = min(free, maxCounted)
	for len(x.workers) <= free {
		x.workers = append(x.workers, 0)
	}
	x.workers[free] += delta
}

// Free returns the sum of the free accelerators of the workers.
func (x *Indexer) Free() int { return x.free }

// Room returns an upper bound of the tasks that fit into the group if each
// needs the given accelerators, at most limit. Other resources and the state of
// the workers may leave less room.
func (x *Indexer) Room(accelerators, limit int) int {
	if accelerators <= 0 {
		return limit
	}
	if len(x.workers) > maxCounted && x.workers[maxCounted] > 0 {
		return limit
	}
	room := 0
	for free := accelerators; free < len(x.workers) && room < limit; free++ {
		room += x.workers[free] * (free / accelerators)
	}
	return min(room, limit)
}
