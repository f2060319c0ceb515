// Package checker decides whether a place can hold the guarantees of all
// accounts at once, and whether an amendment has to wait until all places have
// acknowledged it.
//
// The accelerators of a rack are ordered. A cell of level k is an aligned run
// of 2^k adjacent accelerators. Cells are split and merged as in a buddy
// allocator, for which packing the blocks from the largest to the smallest is
// exact.
//
// # Usage
//
//	c := checker.New(workers)
//	if shortfalls := c.Amend(before, after, others); len(shortfalls) > 0 {
//		return checker.NewFailure(shortfalls)
//	}
package checker

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
)

// maxLevel is the level of the largest cells, which have 2^maxLevel
// accelerators.
const maxLevel = 16

// Shortfall is a guarantee that does not fit. Reason does not disclose the
// guarantees of other accounts.
type Shortfall struct {
	Account primrosespar.Account `json:"account"`
	Place   primrosespar.Place   `json:"place"`
	Block   int                  `json:"block"`
	Count   int                  `json:"count"`
	Reason  string               `json:"reason"`
}

// String describes the shortfall in one line.
func (s Shortfall) String() string {
	return fmt.Sprintf("account %s: %d blocks of %d accelerators in %s do not fit: %s",
		s.Account, s.Count, s.Block, s.Place, s.Reason)
}

// NewFailure returns a Failure with CodeGuaranteesDontPack that lists the
// shortfalls.
func NewFailure(shortfalls []Shortfall) error {
	lines := make([]string, len(shortfalls))
	for i, s := range shortfalls {
		lines[i] = s.String()
	}
	return primrosespar.Fail(primrosespar.CodeGuaranteesDontPack, "%s", strings.Join(lines, "; "))
}

// cells counts free cells, or requested blocks, by level.
type cells [maxLevel + 1]int

// Checker checks guarantees against the cells of all places.
type Checker struct {
	places map[primrosespar.Place]cells
}

// New returns a Checker for the workers of all places. Workers that are leaving
// are not counted. Workers that are down are counted, because they are expected
// to come back and an outage must not cause amendments to be refused.
func New(workers []primrosespar.WorkerEntry) *Checker {
	type rackKey struct {
		place primrosespar.Place
		rack  primrosespar.Rack
	}
	racks := map[rackKey][]primrosespar.WorkerEntry{}
	for _, w := range workers {
		key := rackKey{w.Place, w.Rack}
		racks[key] = append(racks[key], w)
	}
	c := &Checker{places: map[primrosespar.Place]cells{}}
	for key, rackWorkers := range racks {
		free := c.places[key.place]
		free.addRack(rackWorkers)
		c.places[key.place] = free
	}
	return c
}

// addRack adds the cells of one rack: the largest aligned runs of usable
// accelerators.
func (c *cells) addRack(workers []primrosespar.WorkerEntry) {
	slices.SortFunc(workers, func(a, b primrosespar.WorkerEntry) int { return a.Position - b.Position })
	var usable []bool
	for _, w := range workers {
		for range w.Accelerators {
			usable = append(usable, !w.Leaving)
		}
	}
	for start := 0; start < len(usable); {
		level := 0
		for level < maxLevel && isUsableCell(usable, start, level+1) {
			level++
		}
		if usable[start] {
			c[level]++
		}
		start += 1 << level
	}
}

// isUsableCell reports whether a cell of the level starts at start and all of
// its accelerators are usable.
func isUsableCell(usable []bool, start, level int) bool {
	size := 1 << level
	if start%size != 0 || start+size > len(usable) {
		return false
	}
	return !slices.Contains(usable[start:start+size], false)
}

// fits reports whether all wanted blocks fit into the cells at once. It places
// the largest blocks first.
func (c cells) fits(wanted cells) bool {
	for level := maxLevel; level >= 0; level-- {
		c[level] -= wanted[level]
		if c[level] < 0 {
			return false
		}
		if level > 0 {
			// Split each remaining cell into two of the next lower level.
			c[level-1] += 2 * c[level]
		}
	}
	return true
}

// levelOf returns the level of a block, or false if the block is no power of
// two or too large.
func levelOf(block int) (int, bool) {
	if block <= 0 || block&(block-1) != 0 || block > 1<<maxLevel {
		return 0, false
	}
	return bits.TrailingZeros(uint(block)), true
}

// Check adds the guarantees of the contracts in the given order and returns
// those that do not fit together with the earlier ones.
func (c *Checker) Check(contracts ...primrosespar.Contract) []Shortfall {
	taken := map[primrosespar.Place]cells{}
	var shortfalls []Shortfall
	for _, contract := range contracts {
		shortfalls = append(shortfalls, c.addGuarantees(taken, contract)...)
	}
	return shortfalls
}

// Amend checks an amendment that replaces the contract before with after. The
// guarantees of the other accounts are added first, so that only those of the
// amended account are reported. A place where the amendment raises no guarantee
// is not checked: the guarantees there may no longer fit because a worker was
// removed, but the amendment does not make this worse.
func (c *Checker) Amend(before, after primrosespar.Contract, others []primrosespar.Contract) []Shortfall {
	raised := map[primrosespar.Place]bool{}
	for _, g := range after.Guarantees {
		if g.Count > guaranteedBlocks(before, g.Place, g.Block) {
			raised[g.Place] = true
		}
	}
	if len(raised) == 0 {
		return nil
	}
	taken := map[primrosespar.Place]cells{}
	for _, other := range others {
		// Guarantees of the others count as taken even if they do not all fit,
		// because they then leave no room for this account either.
		for _, g := range other.Guarantees {
			if level, ok := levelOf(g.Block); ok {
				placeTaken := taken[g.Place]
				placeTaken[level] += g.Count
				taken[g.Place] = placeTaken
			}
		}
	}
	var shortfalls []Shortfall
	for _, s := range c.addGuarantees(taken, after) {
		if raised[s.Place] {
			shortfalls = append(shortfalls, s)
		}
	}
	return shortfalls
}

// addGuarantees adds the guarantees of one account to taken and returns those
// that do not fit, which are not added.
func (c *Checker) addGuarantees(taken map[primrosespar.Place]cells, contract primrosespar.Contract) []Shortfall {
	var shortfalls []Shortfall
	takenByAccount := map[primrosespar.Place]cells{}
	for _, g := range contract.Guarantees {
		level, valid := levelOf(g.Block)
		combined, ownOnly := taken[g.Place], takenByAccount[g.Place]
		if valid {
			combined[level] += g.Count
			ownOnly[level] += g.Count
		}
		if reason := c.shortfallReason(g, valid, combined, ownOnly); reason != "" {
			shortfalls = append(shortfalls, Shortfall{contract.Account, g.Place, g.Block, g.Count, reason})
			continue
		}
		taken[g.Place], takenByAccount[g.Place] = combined, ownOnly
	}
	return shortfalls
}

// shortfallReason says why a guarantee does not fit, or returns an empty string
// if it fits. combined and ownOnly include the guarantee: combined counts the
// blocks of all accounts so far, and ownOnly those of this account.
func (c *Checker) shortfallReason(g primrosespar.Guarantee, valid bool, combined, ownOnly cells) string {
	free, known := c.places[g.Place]
	level, _ := levelOf(g.Block)
	var single cells
	single[level] = 1
	switch {
	case !valid:
		return "the block size is not a power of two or is above 65536"
	case !known:
		return "the place has no workers"
	case !free.fits(single):
		return "no rack of the place has an aligned block of this size"
	case !free.fits(ownOnly):
		return "the place is too small for the guarantees of this account alone"
	case !free.fits(combined):
		return "the rest of the place is reserved for guarantees of other accounts"
	}
	return ""
}

// guaranteedBlocks returns the number of blocks of the size that the contract
// guarantees in the place.
func guaranteedBlocks(c primrosespar.Contract, place primrosespar.Place, block int) int {
	sum := 0
	for _, g := range c.Guarantees {
		if g.Place == place && g.Block == block {
			sum += g.Count
		}
	}
	return sum
}
