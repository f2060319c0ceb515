// Package packer is a buddy allocator for the accelerators of one place.
//
// Each accelerator is a cell. The cells of a rack form one sequence, worker
// after worker by position, and a block of level k is an aligned run of 2^k of
// them. The packer maintains the maximal blocks of two views: blocks whose
// cells are all free, and blocks whose cells are all reclaimable, that is free
// or held by preemptible work and not bound to a claimed guarantee. Every
// change of a cell updates both, so that no query scans the accelerators.
//
// # Usage
//
//	p := packer.New()
//	p.SetWorkers(entries, nil)
//	if block, ok := p.BestFit(packer.ViewFree, 3, nil); ok {
//		p.Hold(p.Slices(block, 0, 8, 0), "job-1", packer.Preemptible)
//	}
//	packs := p.Packs(demand)
//
// A block spans two workers only if all positions between them are known. A
// missing position is a gap in the sequence, as long as the rack's largest
// worker, and no block includes a gap.
package packer

import (
	"math/bits"

	"github.com/google/btree"

	"primrosespar.example/primrosespar"
)

// Levels is the number of block sizes. The largest block has 2^(Levels-1)
// accelerators; a larger rack has several of them.
const Levels = 14

// btreeDegree is the degree of the B-trees.
const btreeDegree = 16

// State is what a cell is used for.
type State uint8

// States of a cell. All cells of a worker that takes no new work are
// Unavailable.
const (
	Free State = iota
	Preemptible
	NonPreemptible
	Unavailable
)

// View selects one of the two sets of maximal blocks.
type View int

// Views: blocks of free cells only, and blocks that claims may take.
const (
	ViewFree View = iota
	ViewReclaimable
	viewCount
)

// Counts holds the number of blocks of each level.
type Counts [Levels]int

// Block is an aligned run of 2^Level accelerators of a rack.
type Block struct {
	Rack  primrosespar.Rack
	Start int
	Level int
}

// Size returns the number of accelerators of the block.
func (b Block) Size() int {
	return 1 << b.Level
}

// Cell holds the use of one accelerator.
type Cell struct {
	Holder primrosespar.JobID
	// NextHolder takes the cell over when Holder releases it.
	NextHolder primrosespar.JobID
	// Bound cells belong to a guaranteed block that claims use.
	Bound bool
	// use is the state of the cell while its worker takes new work.
	use State
}

// Packer keeps the cells of one place. It is not safe for concurrent use.
type Packer struct {
	racks   map[primrosespar.Rack]*rack
	workers map[primrosespar.Worker]*worker
	// rackNames is sorted.
	rackNames []primrosespar.Rack
	// maximalBlocks holds the maximal blocks of each view and level, counts
	// their number.
	maximalBlocks [viewCount][Levels]*btree.BTreeG[Block]
	counts        [viewCount]Counts
	// stateCounts holds the number of cells in each state.
	stateCounts [Unavailable + 1]int
	cellCount   int
}

// New returns a packer without workers.
func New() *Packer {
	p := &Packer{
		racks:   map[primrosespar.Rack]*rack{},
		workers: map[primrosespar.Worker]*worker{},
	}
	for v := range p.maximalBlocks {
		for k := range p.maximalBlocks[v] {
			p.maximalBlocks[v][k] = btree.NewG(btreeDegree, blockLess)
		}
	}
	return p
}

func blockLess(a, b Block) bool {
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.Start < b.Start
}

// LevelOf returns the lowest level whose blocks hold n accelerators.
func LevelOf(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// Packs reports whether all demanded blocks fit into the reclaimable cells at
// the same time. Aligned blocks nest, so placing the largest first gives an
// exact answer.
func (p *Packer) Packs(demand Counts) bool {
	return Fits(p.counts[ViewReclaimable], demand) < 0
}

// Fits returns the largest level at which the supply of maximal blocks is too
// small for the demand, -1 if all of it fits.
func Fits(supply, demand Counts) int {
	left := 0
	for k := Levels - 1; k >= 0; k-- {
		left = left*2 + supply[k] - demand[k]
		if left < 0 {
			return k
		}
	}
	return -1
}

// Supply returns the number of maximal blocks of the view at each level.
func (p *Packer) Supply(v View) Counts {
	return p.counts[v]
}

// Count returns the number of cells in the state.
func (p *Packer) Count(s State) int {
	return p.stateCounts[s]
}

// Total returns the number of accelerators of all known workers.
func (p *Packer) Total() int {
	return p.cellCount
}

// Largest returns the size of the largest free block, 0 if none is free.
func (p *Packer) Largest() int {
	for k := Levels - 1; k >= 0; k-- {
		if p.counts[ViewFree][k] > 0 {
			return 1 << k
		}
	}
	return 0
}

// BestFit returns a block of the level from the smallest maximal block of the
// view that holds one, so that larger blocks stay whole. If accept is not nil,
// it returns the first block in the order of Candidates for which accept
// returns true.
func (p *Packer) BestFit(v View, level int, accept func(Block) bool) (Block, bool) {
	var found Block
	ok := false
	p.Candidates(v, level, func(b Block) bool {
		if accept != nil && !accept(b) {
			return true
		}
		found, ok = b, true
		return false
	})
	return found, ok
}

// Candidates visits the blocks of the level in the view's maximal blocks,
// smallest maximal block first, until visit returns false.
func (p *Packer) Candidates(v View, level int, visit func(Block) bool) {
	proceed := true
	for k := level; k < Levels && proceed; k++ {
		p.maximalBlocks[v][k].Ascend(func(outer Block) bool {
			for offset := 0; offset < outer.Size() && proceed; offset += 1 << level {
				proceed = visit(Block{Rack: outer.Rack, Start: outer.Start + offset, Level: level})
			}
			return proceed
		})
	}
}

// setInView adds the cell to the view or removes it, and updates the maximal
// blocks.
func (p *Packer) setInView(r *rack, v View, i int, member bool) {
	t := &r.trees[v]
	leaf := t.leaves + i
	if t.full[leaf] == member {
		return
	}
	t.countCell(leaf, member)
	if member {
		p.mergeUp(r, v, leaf)
		return
	}
	top, level := leaf, 0
	for top > 1 && t.full[top/2] && level+1 < Levels {
		top, level = top/2, level+1
	}
	p.removeBlock(r, v, top, level)
	for n, k := leaf, 0; ; n, k = n/2, k+1 {
		t.full[n] = false
		if n == top {
			return
		}
		p.insertBlock(r, v, n^1, k)
	}
}

// mergeUp marks the leaf as full and merges it with full buddies into a maximal
// block.
func (p *Packer) mergeUp(r *rack, v View, leaf int) {
	t := &r.trees[v]
	n, level := leaf, 0
	t.full[n] = true
	for n > 1 && level+1 < Levels && t.full[n^1] {
		p.removeBlock(r, v, n^1, level)
		n, level = n/2, level+1
		t.full[n] = true
	}
	p.insertBlock(r, v, n, level)
}

func (p *Packer) insertBlock(r *rack, v View, index, level int) {
	p.counts[v][level]++
	p.maximalBlocks[v][level].ReplaceOrInsert(r.blockOf(index, level))
}

func (p *Packer) removeBlock(r *rack, v View, index, level int) {
	p.counts[v][level]--
	p.maximalBlocks[v][level].Delete(r.blockOf(index, level))
}
