package router_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/claimer"
	"primrosespar.example/primrosespar/internal/request/forwarder"
	"primrosespar.example/primrosespar/internal/request/minter"
	"primrosespar.example/primrosespar/internal/request/retrier"
	"primrosespar.example/primrosespar/internal/request/router"
)

// fakeTable is an in-memory table that can be unavailable.
type fakeTable struct {
	primrosespar.Table
	mu          sync.Mutex
	rows        map[string]primrosespar.Row
	unavailable atomic.Bool
	// afterCommit is called after each successful commit, if set.
	afterCommit func()
}

func (table *fakeTable) Get(_ context.Context, keys ...string) ([]primrosespar.Row, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.unavailable.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	return []primrosespar.Row{table.rows[keys[0]]}, nil
}

func (table *fakeTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.unavailable.Load() || ctx.Err() != nil {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	row := table.rows[txn.Conditions[0].Key]
	if row.Version != txn.Conditions[0].Version {
		return nil, primrosespar.Fail(primrosespar.CodeConflict, "row version changed")
	}
	row.Version++
	row.Value = txn.Writes[0].Value
	table.rows[txn.Writes[0].Key] = row
	if table.afterCommit != nil {
		table.afterCommit()
	}
	return []primrosespar.Version{row.Version}, nil
}

// fakePlace stands in for everything a host depends on in its place: contracts,
// dispatcher, recorder, sender and peers.
type fakePlace struct {
	// contractsUnread is set while the hosts have not read the contracts.
	contractsUnread bool
	primrosespar.Peers
	table       *fakeTable
	viewCurrent bool
	minterHost  *router.Router
	findMinter  bool
	// acquire is called before each grant and may refuse it.
	acquire func(primrosespar.Call) error
	// send returns the result of one attempt.
	send func(context.Context, forwarder.Attempt) forwarder.Result
	// openGrants counts the grants that are not released.
	openGrants       atomic.Int64
	sentAttempts     atomic.Int64
	attemptIDs       atomic.Int64
	recordedOutcomes atomic.Int64
}

func newFakePlace() *fakePlace {
	place := &fakePlace{table: &fakeTable{rows: map[string]primrosespar.Row{}}, viewCurrent: true, findMinter: true}
	place.acquire = func(primrosespar.Call) error { return nil }
	place.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result { return okResult(a) }
	return place
}

// okResult returns a complete answer whose body is the attempt ID.
func okResult(a forwarder.Attempt) forwarder.Result {
	return forwarder.Result{
		Answer:  primrosespar.Answer{Ran: primrosespar.RanDone, Status: 200, Body: []byte(a.ID)},
		Outcome: primrosespar.AttemptOutcome{Sent: true},
	}
}

// refusedResult returns a refusal with the code.
func refusedResult(code primrosespar.Code, ran primrosespar.Ran, sent bool) forwarder.Result {
	return forwarder.Result{
		Answer:  primrosespar.Answer{Code: code, Ran: ran, Status: 503},
		Outcome: primrosespar.AttemptOutcome{Code: code, Sent: sent},
	}
}

// newHost returns the router and the minter of a new host of the place.
func (place *fakePlace) newHost(name primrosespar.Host, incarnation primrosespar.Incarnation) (*router.Router, *minter.Minter) {
	clock := clockwork.NewRealClock()
	newAttemptID := func() primrosespar.AttemptID {
		return primrosespar.AttemptID(fmt.Sprint(name, place.attemptIDs.Add(1)))
	}
	m := minter.New(minter.WithProcess("burnie-a", name, incarnation, []byte(incarnation)), minter.WithClock(clock))
	return router.New(
		router.WithHost("burnie-a", name), router.WithClock(clock), router.WithContracts(place, place), router.WithRecorder(place),
		router.WithKeys(claimer.New(claimer.WithStore(place.table, nil), claimer.WithClock(clock), claimer.WithAttempts(newAttemptID)), m),
		router.WithAttempts(place, retrier.New(retrier.WithClock(clock), retrier.WithRandom(func() float64 { return 0 })), newAttemptID),
		router.WithPeers(place, func(primrosespar.Host, primrosespar.Incarnation) (netip.AddrPort, bool) {
			return netip.AddrPort{}, place.findMinter
		}),
	), m
}

func (place *fakePlace) View() (primrosespar.ContractView, time.Duration) {
	terms := func(class primrosespar.Class, idempotent bool) primrosespar.ClassTerms {
		return primrosespar.ClassTerms{Class: class, Kind: primrosespar.KindRequest, Idempotent: idempotent, Deadline: 5 * time.Second}
	}
	if place.contractsUnread {
		return primrosespar.ContractView{}, 0
	}
	return primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{{Version: 1, Contract: primrosespar.Contract{
		Account: "co-op", Places: []primrosespar.PlaceShare{{Place: "burnie-a", Share: 1}},
		Classes: []primrosespar.ClassTerms{terms("booking", false), terms("confirmation", true)},
	}}}}, 0
}

func (place *fakePlace) Current() bool { return place.viewCurrent }

func (place *fakePlace) Record(d primrosespar.Decision) {
	if d.Kind == primrosespar.DecisionOutcome {
		place.recordedOutcomes.Add(1)
	}
}

func (place *fakePlace) Acquire(_ context.Context, call primrosespar.Call) (primrosespar.Grant, error) {
	if err := place.acquire(call); err != nil {
		return nil, err
	}
	place.openGrants.Add(1)
	return fakeGrant{place: place, target: primrosespar.Upstream(fmt.Sprint("u", call.Retry))}, nil
}

func (place *fakePlace) Do(ctx context.Context, a forwarder.Attempt) forwarder.Result {
	place.sentAttempts.Add(1)
	return place.send(ctx, a)
}

func (place *fakePlace) Execute(ctx context.Context, _ netip.AddrPort, call primrosespar.Call) (primrosespar.Answer, error) {
	call.Deadline = time.Time{}
	return place.minterHost.Execute(ctx, call), nil
}

// fakeGrant is a grant whose release lowers openGrants.
type fakeGrant struct {
	place  *fakePlace
	target primrosespar.Upstream
}

func (g fakeGrant) Target() primrosespar.UpstreamEntry {
	return primrosespar.UpstreamEntry{Upstream: g.target}
}

func (g fakeGrant) Release(primrosespar.AttemptOutcome) { g.place.openGrants.Add(-1) }
