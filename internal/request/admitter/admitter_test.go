package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/admitter"
)

// viewWithClass returns a view in which each account has one class with the
// given terms.
func viewWithClass(terms primrosespar.ClassTerms, weights map[primrosespar.Account]int) primrosespar.ContractView {
	var view primrosespar.ContractView
	for account, weight := range weights {
		view.Contracts = append(view.Contracts, primrosespar.VersionedContract{Contract: primrosespar.Contract{
			Account: account, Weight: weight, Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}},
			Classes: []primrosespar.ClassTerms{terms},
		}})
	}
	return view
}

// generousTerms returns terms whose limits no test reaches.
func generousTerms() primrosespar.ClassTerms {
	return primrosespar.ClassTerms{Class: "c", Kind: primrosespar.KindRequest, Idempotent: true, RatePerSecond: 1000, Burst: 1000, Concurrency: 100, Queue: 1000}
}

// TestWeightsShareIdleSlots guards against an account that gets idle slots
// out of proportion to its weight.
func TestWeightsShareIdleSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	a := admitter.New("p")
	a.SetContracts(viewWithClass(generousTerms(), map[primrosespar.Account]int{"light": 1, "heavy": 3}), now)
	a.SetCurrent(true, now)
	for range 400 {
		for _, account := range []primrosespar.Account{"light", "heavy"} {
			_, _, err := a.Offer(admitter.Request{Account: account, Class: "c", Deadline: now.Add(time.Hour)}, now)
			require.NoError(t, err)
		}
	}
	served := map[primrosespar.Account]int{}
	for range 400 {
		run, _ := a.Next(now)
		served[run.Request().Account]++
		a.Release(run, 0, false, now)
	}
	require.InDelta(t, 300, served["heavy"], 4)
}

// TestOfflineTerms guards against service beyond the offline terms, and against
// admission of a non-idempotent call without a minted key while the view is not
// current.
func TestOfflineTerms(t *testing.T) {
	now := time.Unix(1000, 0)
	nonIdempotent := generousTerms()
	nonIdempotent.Idempotent = false
	nonIdempotent.Offline = primrosespar.OfflineTerms{RatePerSecond: 8, Concurrency: 4}
	a := admitter.New("p")
	a.SetContracts(viewWithClass(nonIdempotent, map[primrosespar.Account]int{"x": 1}), now)
	a.SetHosts(2, 1, now)
	_, _, err := a.Offer(admitter.Request{Account: "x", Class: "c", Deadline: now.Add(time.Hour)}, now)
	require.Equal(t, primrosespar.CodeRestricted, primrosespar.CodeOf(err))
	for range 10 {
		_, _, _ = a.Offer(admitter.Request{Account: "x", Class: "c", Deadline: now.Add(time.Hour), Minted: true}, now)
	}
	require.LessOrEqual(t, a.Waiting(), 8)
	running := 0
	for run, _ := a.Next(now); run != nil; run, _ = a.Next(now) {
		running++
	}
	require.Equal(t, 2, running)
}

// TestLateCallsAreShed guards against slots spent on calls that would miss
// their deadline, and against an estimate that never decays and sheds every
// later call of the class.
func TestLateCallsAreShed(t *testing.T) {
	now := time.Unix(1000, 0)
	a := admitter.New("p")
	a.SetContracts(viewWithClass(generousTerms(), map[primrosespar.Account]int{"x": 1}), now)
	a.SetCurrent(true, now)
	r := admitter.Request{Account: "x", Class: "c", Deadline: now.Add(time.Second)}
	_, _, err := a.Offer(r, now)
	require.NoError(t, err)
	run, _ := a.Next(now)
	_, _, err = a.Offer(r, now)
	require.NoError(t, err)
	a.Release(run, 2*time.Second, true, now)
	run, shed := a.Next(now)
	require.Nil(t, run)
	require.Len(t, shed, 1)
	require.Equal(t, primrosespar.CodeWouldBeLate, shed[0].Code)
	_, _, err = a.Offer(r, now)
	require.Equal(t, primrosespar.CodeWouldBeLate, primrosespar.CodeOf(err))
	now = now.Add(10 * time.Second)
	r.Deadline = now.Add(time.Second)
	_, _, err = a.Offer(r, now)
	require.NoError(t, err)
	require.Zero(t, a.Waiting()-1)
}

// TestAmendmentKeepsCallsInFlight guards against a class that exceeds its
// concurrency after it is removed and restored, because calls in flight from
// before the removal are not counted.
func TestAmendmentKeepsCallsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	terms := generousTerms()
	terms.Concurrency = 1
	view := viewWithClass(terms, map[primrosespar.Account]int{"x": 1})
	a := admitter.New("p")
	a.SetCurrent(true, now)
	var started []*admitter.Ticket
	for range 2 {
		a.SetContracts(view, now)
		for range 2 {
			_, _, err := a.Offer(admitter.Request{Account: "x", Class: "c", Deadline: now.Add(time.Hour)}, now)
			require.NoError(t, err)
		}
		for run, _ := a.Next(now); run != nil; run, _ = a.Next(now) {
			started = append(started, run)
		}
		a.SetContracts(primrosespar.ContractView{}, now)
		require.Zero(t, a.Waiting())
		_, _, err := a.Offer(admitter.Request{Account: "x", Class: "c", Deadline: now.Add(time.Hour)}, now)
		require.Equal(t, primrosespar.CodeUnknownAccount, primrosespar.CodeOf(err))
	}
	require.Len(t, started, 1)
}
