// Package checker decides whether the guarantees of all accounts pack at once
// and whether an amendment takes effect only after all places acknowledged it.
//
// The accelerators of a rack have a linear order. A cell of level k is an
// aligned run of 2^k of them, so cells form a buddy hierarchy, in which
// packing from the largest block down is exact.
//
// # Usage
//
//	c := checker.New(workers)
//	if shortfalls := c.Amend(before, after, others); len(shortfalls) > 0 {
//		return checker.Refuse(shortfalls)
//	}
package checker

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
)

// maxLevel bounds the size of a cell to 2^maxLevel accelerators.
const maxLevel = 16

// Shortfall is one guarantee that does not fit. Reason tells nothing of the
// figures of other accounts.
type Shortfall struct {
	Account primrosespar.Account `json:"account"`
	Place   primrosespar.Place   `json:"place"`
	Block   int                  `json:"block"`
	Count   int                  `json:"count"`
	Reason  string               `json:"reason"`
}

// String returns the shortfall as a sentence.
func (s Shortfall) String() string {
	return fmt.Sprintf("account %s: %d blocks of %d accelerators in %s do not fit: %s",
		s.Account, s.Count, s.Block, s.Place, s.Reason)
}

// NewFailure returns the failure for the shortfalls.
func NewFailure(shortfalls []Shortfall) error {
	lines := make([]string, len(shortfalls))
	for i, s := range shortfalls {
		lines[i] = s.String()
	}
	return primrosespar.Fail(primrosespar.CodeGuaranteesDontPack, "%s", strings.Join(lines, "; "))
}

// cells counts free cells or wanted blocks by level.
type cells [maxLevel + 1]int

// Checker knows the racks of all places.
type Checker struct {
	places map[primrosespar.Place]cells
}

// New takes the workers of all places. A worker that is leaving is not
// counted. A worker that is down is counted, because it is expected back and
// an outage must not refuse amendments.
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

// addRack adds the largest aligned runs of usable accelerators.
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

// isUsableCell reports whether an aligned cell of the level starts here and is usable.
func isUsableCell(usable []bool, start, level int) bool {
	size := 1 << level
	if start%size != 0 || start+size > len(usable) {
		return false
	}
	return !slices.Contains(usable[start:start+size], false)
}

// fits removes the blocks from the cells, from the largest level down, and
// reports whether all of them fit.
func (c cells) fits(wanted cells) bool {
	for level := maxLevel; level >= 0; level-- {
		c[level] -= wanted[level]
		if c[level] < 0 {
			return false
		}
		if level > 0 {
			// A larger cell that is left over serves as two smaller ones.
			c[level-1] += 2 * c[level]
		}
	}
	return true
}

// levelOf returns the level of a block, or false if no rack could hold it.
func levelOf(block int) (int, bool) {
	if block <= 0 || block&(block-1) != 0 || block > 1<<maxLevel {
		return 0, false
	}
	return bits.TrailingZeros(uint(block)), true
}

// Check adds the accounts in the order given and returns each guarantee that
// does not fit beside the earlier ones. None means that all pack at once.
func (c *Checker) Check(contracts ...primrosespar.Contract) []Shortfall {
	taken := map[primrosespar.Place]cells{}
	var shortfalls []Shortfall
	for _, contract := range contracts {
		shortfalls = append(shortfalls, c.addGuarantees(taken, contract)...)
	}
	return shortfalls
}

// Amend checks the guarantees that after raises above before. The other
// accounts come first, so only the amended account is named. An amendment that
// raises no guarantee of a place is allowed there even if a removed worker
// left the place short, because it makes nothing worse.
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
		// What does not fit among the others is not this account's doing, but
		// it leaves no room: all of it is counted as taken.
		for _, g := range other.Guarantees {
			if level, ok := levelOf(g.Block); ok {
				wanted := taken[g.Place]
				wanted[level] += g.Count
				taken[g.Place] = wanted
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

// addGuarantees takes the guarantees of one account and returns those that do not fit.
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

// shortfallReason says why a guarantee does not fit, or nothing if it fits.
func (c *Checker) shortfallReason(g primrosespar.Guarantee, valid bool, combined, ownOnly cells) string {
	free, known := c.places[g.Place]
	level, _ := levelOf(g.Block)
	var single cells
	single[level] = 1
	switch {
	case !valid:
		return "the block is no power of two or above 65536"
	case !known:
		return "the place has no workers"
	case !free.fits(single):
		return "no rack of the place has an aligned run of this size"
	case !free.fits(ownOnly):
		return "the place is too small for the guarantees of this account alone"
	case !free.fits(combined):
		return "the rest of the place is kept for guarantees of other accounts"
	}
	return ""
}

// guaranteedBlocks returns how many blocks of the size the contract guarantees.
func guaranteedBlocks(c primrosespar.Contract, place primrosespar.Place, block int) int {
	sum := 0
	for _, g := range c.Guarantees {
		if g.Place == place && g.Block == block {
			sum += g.Count
		}
	}
	return sum
}
