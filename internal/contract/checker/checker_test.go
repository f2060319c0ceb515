package checker_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/checker"
)

// rack returns workers of 4 accelerators; the ones with a mark are leaving.
func rack(name primrosespar.Rack, leaving ...bool) []primrosespar.WorkerEntry {
	var workers []primrosespar.WorkerEntry
	for i, gone := range leaving {
		workers = append(workers, primrosespar.WorkerEntry{
			Place: "p", Rack: name, Position: i, Accelerators: 4, Leaving: gone,
		})
	}
	return workers
}

func account(name primrosespar.Account, guarantees ...primrosespar.Guarantee) primrosespar.Contract {
	return primrosespar.Contract{Account: name, Guarantees: guarantees}
}

// fits searches all aligned positions: the slow and certain answer.
func fits(taken [][]bool, blocks []int) bool {
	if len(blocks) == 0 {
		return true
	}
	size := blocks[0]
	for _, r := range taken {
		for at := 0; at+size <= len(r); at += size {
			if anyTaken(r[at : at+size]) {
				continue
			}
			set(r[at:at+size], true)
			ok := fits(taken, blocks[1:])
			set(r[at:at+size], false)
			if ok {
				return true
			}
		}
	}
	return false
}

func anyTaken(run []bool) bool {
	for _, t := range run {
		if t {
			return true
		}
	}
	return false
}

func set(run []bool, to bool) {
	for i := range run {
		run[i] = to
	}
}

// TestCheckIsExact guards against a pack check that refuses what fits or
// accepts what does not, by comparison with an exhaustive search.
func TestCheckIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []primrosespar.WorkerEntry
		var taken [][]bool
		for r := range rapid.IntRange(1, 2).Draw(t, "racks") {
			leaving := rapid.SliceOfN(rapid.Bool(), 1, 4).Draw(t, "leaving")
			workers = append(workers, rack(primrosespar.Rack(rune('a'+r)), leaving...)...)
			run := make([]bool, 4*len(leaving))
			for i, gone := range leaving {
				set(run[4*i:4*i+4], gone)
			}
			taken = append(taken, run)
		}
		blocks := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 4, 8, 16}), 1, 5).Draw(t, "blocks")
		var contracts []primrosespar.Contract
		for _, b := range blocks {
			contracts = append(contracts, account("a", primrosespar.Guarantee{Place: "p", Block: b, Count: 1}))
		}
		got := len(checker.New(workers).Check(contracts...)) == 0
		require.Equal(t, fits(taken, blocks), got)
	})
}

// TestAmendNamesOnlyTheAmendedAccount guards against a message that shows the
// figures of other accounts, and against an amendment that is refused although
// it raises nothing.
func TestAmendNamesOnlyTheAmendedAccount(t *testing.T) {
	c := checker.New(rack("a", false, false))
	other := account("other", primrosespar.Guarantee{Place: "p", Block: 4, Count: 2})
	after := account("own", primrosespar.Guarantee{Place: "p", Block: 2, Count: 1})
	short := c.Amend(primrosespar.Contract{}, after, []primrosespar.Contract{other})
	require.Len(t, short, 1)
	require.Equal(t, "account own: 1 blocks of 2 accelerators in p do not fit: "+
		"the rest of the place is kept for guarantees of other accounts", short[0].String())
	require.Empty(t, c.Amend(after, after, []primrosespar.Contract{other}))
}

// TestLowersOffline guards against an amendment that takes effect at once
// although a place that is cut off would go on violating it.
func TestLowersOffline(t *testing.T) {
	terms := func(rate float64, repeat bool) primrosespar.Contract {
		return primrosespar.Contract{
			Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}},
			Classes: []primrosespar.ClassTerms{{
				Class: "c", Kind: primrosespar.KindRequest, Idempotent: repeat,
				Offline: primrosespar.OfflineTerms{RatePerSecond: rate, Concurrency: 1},
			}},
		}
	}
	moved := terms(2, true)
	moved.Places[0].Place = "q"
	require.False(t, checker.LowersOffline(terms(2, true), terms(3, true)))
	require.True(t, checker.LowersOffline(terms(2, true), terms(1, true)))
	require.True(t, checker.LowersOffline(terms(2, true), terms(2, false)))
	require.True(t, checker.LowersOffline(terms(2, true), moved))
	require.True(t, checker.LowersOffline(terms(2, true), primrosespar.Contract{}))
	require.Equal(t, 1.0, checker.Restrict(terms(2, true), terms(1, true)).Classes[0].Offline.RatePerSecond)
	require.Zero(t, checker.Restrict(terms(2, true), terms(9, false)).Classes[0].Offline)
	require.Zero(t, checker.Restrict(terms(2, true), moved).Classes[0].Offline)
}
