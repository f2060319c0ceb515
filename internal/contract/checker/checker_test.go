package checker_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/checker"
)

// newRack returns a rack of workers with 4 accelerators each. Each argument
// says whether a worker is leaving.
func newRack(name primrosespar.Rack, leaving ...bool) []primrosespar.WorkerEntry {
	var workers []primrosespar.WorkerEntry
	for i, isLeaving := range leaving {
		workers = append(workers, primrosespar.WorkerEntry{
			Place: "p", Rack: name, Position: i, Accelerators: 4, Leaving: isLeaving,
		})
	}
	return workers
}

// newContract returns a contract with the guarantees.
func newContract(name primrosespar.Account, guarantees ...primrosespar.Guarantee) primrosespar.Contract {
	return primrosespar.Contract{Account: name, Guarantees: guarantees}
}

// packs reports whether the blocks fit, by trying all aligned positions.
func packs(taken [][]bool, blocks []int) bool {
	if len(blocks) == 0 {
		return true
	}
	size := blocks[0]
	for _, rack := range taken {
		for start := 0; start+size <= len(rack); start += size {
			if anyTaken(rack[start : start+size]) {
				continue
			}
			setAll(rack[start:start+size], true)
			ok := packs(taken, blocks[1:])
			setAll(rack[start:start+size], false)
			if ok {
				return true
			}
		}
	}
	return false
}

// anyTaken reports whether any of the accelerators is taken.
func anyTaken(accelerators []bool) bool {
	for _, t := range accelerators {
		if t {
			return true
		}
	}
	return false
}

// setAll sets whether the accelerators are taken.
func setAll(accelerators []bool, value bool) {
	for i := range accelerators {
		accelerators[i] = value
	}
}

// TestCheckIsExact guards against a check that refuses guarantees that fit or
// accepts ones that do not. It compares the check with an exhaustive search.
func TestCheckIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []primrosespar.WorkerEntry
		var taken [][]bool
		for r := range rapid.IntRange(1, 2).Draw(t, "racks") {
			leaving := rapid.SliceOfN(rapid.Bool(), 1, 4).Draw(t, "leaving")
			workers = append(workers, newRack(primrosespar.Rack(rune('a'+r)), leaving...)...)
			accelerators := make([]bool, 4*len(leaving))
			for i, isLeaving := range leaving {
				setAll(accelerators[4*i:4*i+4], isLeaving)
			}
			taken = append(taken, accelerators)
		}
		blocks := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 4, 8, 16}), 1, 5).Draw(t, "blocks")
		var contracts []primrosespar.Contract
		for _, b := range blocks {
			contracts = append(contracts, newContract("a", primrosespar.Guarantee{Place: "p", Block: b, Count: 1}))
		}
		got := len(checker.New(workers).Check(contracts...)) == 0
		require.Equal(t, packs(taken, blocks), got)
	})
}

// TestAmendNamesOnlyTheAmendedAccount guards against a message that discloses
// the guarantees of other accounts, and against refusing an amendment that
// raises no guarantee.
func TestAmendNamesOnlyTheAmendedAccount(t *testing.T) {
	c := checker.New(newRack("a", false, false))
	other := newContract("other", primrosespar.Guarantee{Place: "p", Block: 4, Count: 2})
	after := newContract("own", primrosespar.Guarantee{Place: "p", Block: 2, Count: 1})
	shortfalls := c.Amend(primrosespar.Contract{}, after, []primrosespar.Contract{other})
	require.Len(t, shortfalls, 1)
	require.Equal(t, "account own: 1 blocks of 2 accelerators in p do not fit: "+
		"the rest of the place is reserved for guarantees of other accounts", shortfalls[0].String())
	require.Empty(t, c.Amend(after, after, []primrosespar.Contract{other}))
}

// TestLowersOffline guards against an amendment that takes effect at once
// although a place that cannot reach the table would go on violating it.
func TestLowersOffline(t *testing.T) {
	withOffline := func(rate float64, idempotent bool) primrosespar.Contract {
		return primrosespar.Contract{
			Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}},
			Classes: []primrosespar.ClassTerms{{
				Class: "c", Kind: primrosespar.KindRequest, Idempotent: idempotent,
				Offline: primrosespar.OfflineTerms{RatePerSecond: rate, Concurrency: 1},
			}},
		}
	}
	moved := withOffline(2, true)
	moved.Places[0].Place = "q"
	require.False(t, checker.LowersOffline(withOffline(2, true), withOffline(3, true)))
	require.True(t, checker.LowersOffline(withOffline(2, true), withOffline(1, true)))
	require.True(t, checker.LowersOffline(withOffline(2, true), withOffline(2, false)))
	require.True(t, checker.LowersOffline(withOffline(2, true), moved))
	require.True(t, checker.LowersOffline(withOffline(2, true), primrosespar.Contract{}))
	require.Equal(t, 1.0, checker.Restrict(withOffline(2, true), withOffline(1, true)).Classes[0].Offline.RatePerSecond)
	require.Zero(t, checker.Restrict(withOffline(2, true), withOffline(9, false)).Classes[0].Offline)
	require.Zero(t, checker.Restrict(withOffline(2, true), moved).Classes[0].Offline)
}
