package packer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

func newPacker(t *rapid.T) ([]primrosespar.WorkerEntry, *packer.Packer) {
	var entries []primrosespar.WorkerEntry
	for i, n := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 2, 3, 4, 8}), 1, 4).Draw(t, "sizes") {
		entries = append(entries, primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%d", i)), Rack: "r", Position: i, Accelerators: n, Alive: true,
		})
	}
	p := packer.New()
	p.SetWorkers(entries, nil)
	return entries, p
}

// reclaimableCells returns for each index of the rack whether its cell is free
// or preemptible, and not bound.
func reclaimableCells(p *packer.Packer, size int) []bool {
	out := make([]bool, size)
	for i := range out {
		cells := p.Slices(packer.Block{Rack: "r", Start: i}, 0, 1, 0)
		p.VisitCells(cells, func(c packer.Cell, s packer.State) {
			out[i] = (s == packer.Free || s == packer.Preemptible) && !c.Bound
		})
	}
	return out
}

// fitsBruteForce reports whether the blocks fit, by trying every position of
// every block.
func fitsBruteForce(available []bool, blocks []int) bool {
	if len(blocks) == 0 {
		return true
	}
	size := 1 << blocks[0]
	for offset := 0; offset+size <= len(available); offset += size {
		free := true
		for i := offset; i < offset+size; i++ {
			free = free && available[i]
		}
		if !free {
			continue
		}
		rest := append([]bool(nil), available...)
		for i := offset; i < offset+size; i++ {
			rest[i] = false
		}
		if fitsBruteForce(rest, blocks[1:]) {
			return true
		}
	}
	return false
}

// TestPackCheckIsExact guards against a result of Packs or maximal blocks that
// differ from trying all placements, after any holds, releases and failures.
func TestPackCheckIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, p := newPacker(t)
		slice := func(t *rapid.T) []primrosespar.Slice {
			e := rapid.SampledFrom(entries).Draw(t, "worker")
			first := rapid.IntRange(0, max(e.Accelerators-1, 0)).Draw(t, "first")
			return []primrosespar.Slice{{Worker: e.Worker, First: first, Count: rapid.IntRange(0, e.Accelerators-first).Draw(t, "count")}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				p.Hold(slice(t), "j", rapid.SampledFrom([]packer.State{packer.Preemptible, packer.NonPreemptible}).Draw(t, "state"))
			},
			"release": func(t *rapid.T) { p.Release(slice(t), "j") },
			"bind":    func(t *rapid.T) { p.Bind(slice(t), rapid.Bool().Draw(t, "bound")) },
			"worker": func(t *rapid.T) {
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "index")
				entries[i].Alive = !entries[i].Alive
				entries[i].Accelerators = rapid.SampledFrom([]int{entries[i].Accelerators, 4}).Draw(t, "accelerators")
				p.SetWorkers(entries[i:i+1], nil)
			},
			"": func(t *rapid.T) {
				available := reclaimableCells(p, 32)
				var demand packer.Counts
				blocks := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 4).Draw(t, "blocks")
				for _, level := range blocks {
					demand[level]++
				}
				require.Equal(t, fitsBruteForce(available, blocks), p.Packs(demand))
				cells := 0
				for k, n := range p.Supply(packer.ViewReclaimable) {
					cells += n << k
				}
				for _, o := range available {
					if o {
						cells--
					}
				}
				require.Zero(t, cells, "maximal blocks do not cover the cells")
			},
		})
	})
}

// TestBlocksSpanNeighbours guards against blocks that span a missing position
// and against blocks that end at a worker although its neighbour is free too.
func TestBlocksSpanNeighbours(t *testing.T) {
	p := packer.New()
	for _, position := range []int{1, 2, 4} {
		p.SetWorkers([]primrosespar.WorkerEntry{{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%d", position)), Rack: "r", Position: position, Accelerators: 4, Alive: true,
		}}, nil)
	}
	block, ok := p.BestFit(packer.ViewFree, 3, nil)
	require.True(t, ok)
	require.Equal(t, []primrosespar.Slice{
		{Worker: "w-1", Member: 7, First: 0, Count: 4}, {Worker: "w-2", Member: 7, First: 0, Count: 4},
	}, p.Slices(block, 0, 8, 7))
	require.Equal(t, 1, p.Supply(packer.ViewFree)[3])
	small, _ := p.BestFit(packer.ViewFree, 0, nil)
	require.Equal(t, primrosespar.Worker("w-4"), p.Slices(small, 0, 1, 0)[0].Worker, "the large block stays whole")
}
