package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/follower"
)

// contractDocument is a contract with placeholders for the account,
// max_accelerators and the offline rate.
const contractDocument = `account = "%s"
public_name = "A"
max_accelerators = %d
places = [{place = "p", share = 1}]
[[classes]]
class = "c"
kind = "request"
idempotent = true
deadline = "1s"
rate_per_second = 10
concurrency = 10
offline = {rate_per_second = %d, concurrency = 1}
`

// hostCount is the number of hosts of the place.
const hostCount = 3

// stateMachine runs operators and the hosts of one place with one table.
type stateMachine struct {
	clock           *clock
	store           *store
	operatorClients []*client
	amenders        []*amender.Amender
	hostClients     []*client
	hosts           []*follower.Follower
	lastSeen        []primrosespar.Revision
	nextID          int
	// sent holds all amendments. refused holds the IDs of those for which the
	// answer was that they were not written.
	sent    []amender.Amendment
	refused map[string]bool
}

// newStateMachine returns two operators and hostCount hosts that share an empty
// store. The first host is the leader.
func newStateMachine() *stateMachine {
	m := &stateMachine{clock: &clock{now: time.Unix(1000, 0)}, refused: map[string]bool{}}
	m.store = newStore(m.clock)
	// Fixed delays make a sequence of actions repeatable.
	jitter := func() float64 { return 0.5 }
	for range 2 {
		c := &client{store: m.store}
		m.operatorClients = append(m.operatorClients, c)
		m.amenders = append(m.amenders, amender.New(amender.WithTable(c), amender.WithClock(m.clock),
			amender.WithJitter(jitter), amender.WithPlaces("p")))
	}
	for i := range hostCount {
		c := &client{store: m.store}
		m.hostClients = append(m.hostClients, c)
		m.hosts = append(m.hosts, follower.New(follower.WithTable(c), follower.WithClock(m.clock), follower.WithJitter(jitter),
			follower.WithLeader(func() bool { return i == 0 })))
	}
	m.lastSeen = make([]primrosespar.Revision, hostCount)
	return m
}

// record returns the contract row of the account.
func (m *stateMachine) record(account primrosespar.Account) (r amender.Record) {
	_ = json.Unmarshal(m.store.rows[primrosespar.ContractKey(account)].Value, &r)
	return r
}

// headRevision returns the newest revision in a state of the store.
func headRevision(rows map[string]primrosespar.Row) primrosespar.Revision {
	var head amender.Head
	_ = json.Unmarshal(rows[primrosespar.ContractHeadKey()].Value, &head)
	return head.Revision
}

// inLog reports whether the log contains the amendment.
func (m *stateMachine) inLog(id string) bool {
	for key, row := range m.store.rows {
		if strings.HasPrefix(key, "contract_log/") && strings.Contains(string(row.Value), `"amendment_id":"`+id+`"`) {
			return true
		}
	}
	return false
}

// amend sends an amendment and checks the answer against the log.
func (m *stateMachine) amend(t require.TestingT, operator int, a amender.Amendment) error {
	outcome, err := m.amenders[operator].Amend(context.Background(), a)
	var failure *primrosespar.Failure
	switch {
	case err == nil:
		require.True(t, m.inLog(a.ID))
		require.Equal(t, a.Base+1, outcome.Version)
		require.False(t, m.refused[a.ID])
	case errors.As(err, &failure) && failure.Ran == primrosespar.RanNot:
		m.refused[a.ID] = true
	}
	return err
}

// newAmendment draws an amendment that is not sent yet.
func (m *stateMachine) newAmendment(t *rapid.T, base primrosespar.Version, account primrosespar.Account) amender.Amendment {
	m.nextID++
	a := amender.Amendment{ID: fmt.Sprintf("id-%d", m.nextID), Account: account, Base: base}
	a.Document = fmt.Appendf(nil, contractDocument, account, m.nextID, rapid.IntRange(1, 3).Draw(t, "offline"))
	a.Delete = rapid.IntRange(0, 9).Draw(t, "delete") == 0
	m.sent = append(m.sent, a)
	return a
}

// drawAccount draws one of two accounts.
func drawAccount(t *rapid.T) primrosespar.Account {
	return rapid.SampledFrom([]primrosespar.Account{"a", "b"}).Draw(t, "account")
}

// actions returns the actions of the test by name. The check runs after each of
// them.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	operator := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "operator") }
	host := func(t *rapid.T) int { return rapid.IntRange(0, hostCount-1).Draw(t, "host") }
	duration := func(t *rapid.T, maxMillis int) time.Duration {
		return time.Duration(rapid.IntRange(0, maxMillis).Draw(t, "ms")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"amend": func(t *rapid.T) {
			account := drawAccount(t)
			base := m.record(account).Latest()
			if rapid.Bool().Draw(t, "outdated") && base > 0 {
				base--
			}
			_ = m.amend(t, operator(t), m.newAmendment(t, base, account))
		},
		"again": func(t *rapid.T) {
			if len(m.sent) > 0 {
				a := rapid.SampledFrom(m.sent).Draw(t, "amendment")
				a.Resent = true
				if !m.refused[a.ID] {
					_ = m.amend(t, operator(t), a)
				}
			}
		},
		"race": func(t *rapid.T) {
			account := drawAccount(t)
			base := m.record(account).Latest()
			first, second := m.newAmendment(t, base, account), m.newAmendment(t, base, account)
			var other error
			m.operatorClients[0].beforeCommit = func() { other = m.amend(t, 1, second) }
			err := m.amend(t, 0, first)
			m.operatorClients[0].beforeCommit = nil
			require.False(t, err == nil && other == nil && m.inLog(second.ID), "both operators won")
			if other == nil && err != nil && m.inLog(second.ID) && !m.store.unavailable {
				require.Contains(t, []primrosespar.Code{primrosespar.CodeVersionConflict, primrosespar.CodeStoreUnknown, primrosespar.CodeUnknownAccount}, primrosespar.CodeOf(err))
			}
		},
		"lose answer": func(t *rapid.T) { m.operatorClients[operator(t)].loseAnswer = true },
		"hold commit": func(t *rapid.T) { m.operatorClients[operator(t)].delayCommit = true },
		"land delayed commits": func(*rapid.T) {
			for _, txn := range m.store.delayed {
				_ = m.store.apply(txn)
			}
			m.store.delayed = nil
		},
		"stale operator": func(t *rapid.T) { m.operatorClients[operator(t)].staleBy = rapid.IntRange(1, 4).Draw(t, "staleBy") },
		"outage":         func(t *rapid.T) { m.store.unavailable = rapid.Bool().Draw(t, "unavailable") },
		"step":           func(t *rapid.T) { _, _ = m.hosts[host(t)].Step(context.Background()) },
		"slow step": func(t *rapid.T) {
			index := host(t)
			m.hostClients[index].latency = duration(t, 5000)
			account := drawAccount(t)
			amendment := m.newAmendment(t, m.record(account).Latest(), account)
			m.hostClients[index].beforeAnswer = func() { _ = m.amend(t, 1, amendment) }
			_, _ = m.hosts[index].Step(context.Background())
			m.hostClients[index].latency, m.hostClients[index].beforeAnswer = 0, nil
		},
		// The poll reads a state older than the one that the host has seen, as
		// another replica of the table may return it. A host can only detect a
		// stale read that contradicts what it knows.
		"stale step": func(t *rapid.T) {
			index := host(t)
			staleBy := 0
			for _, rows := range m.store.history {
				if headRevision(rows) >= m.lastSeen[index] {
					staleBy++
				}
			}
			if staleBy < len(m.store.history) {
				m.hostClients[index].staleBy = staleBy
				_, _ = m.hosts[index].Step(context.Background())
				m.hostClients[index].staleBy = 0
			}
		},
		"truncated step": func(t *rapid.T) {
			index := host(t)
			m.hostClients[index].skipFirstLogRow = true
			_, _ = m.hosts[index].Step(context.Background())
			m.hostClients[index].skipFirstLogRow = false
		},
		"heartbeat": func(t *rapid.T) {
			from, to := m.hosts[host(t)], m.hosts[host(t)]
			sent := m.clock.now
			m.clock.Sleep(duration(t, 400))
			view, age := from.View()
			m.clock.Sleep(duration(t, 400))
			if from.Loaded() {
				to.Observe(primrosespar.Heartbeat{Revision: view.Revision, ViewAge: age}, sent)
			}
		},
		"time passes": func(t *rapid.T) { m.clock.Sleep(duration(t, 2000)) },
		"acknowledge": func(t *rapid.T) {
			_ = m.amenders[0].Acknowledge(context.Background(), "p", m.lastSeen[0])
		},
		"settle": func(t *rapid.T) {
			_, _ = m.amenders[operator(t)].Settle(context.Background(), drawAccount(t))
		},
		"": m.check,
	}
}

// check compares the view of each host with the table.
func (m *stateMachine) check(t *rapid.T) {
	for id := range m.refused {
		require.False(t, m.inLog(id), "%s is in the log, but was reported as not written", id)
	}
	for i, h := range m.hosts {
		view, _ := h.View()
		require.GreaterOrEqual(t, view.Revision, m.lastSeen[i], "host %d went back to an earlier revision", i)
		m.lastSeen[i] = view.Revision
		if h.Current() {
			required := primrosespar.Revision(0)
			for n, at := range m.store.changedAt {
				if m.clock.Since(at) > 3*time.Second {
					required = headRevision(m.store.history[n])
				}
			}
			require.GreaterOrEqual(t, view.Revision, required, "host %d is current but lacks an accepted amendment", i)
		}
		require.Equal(t, m.contractsAt(view.Revision), contractSummaries(view), "host %d at revision %d", i, view.Revision)
	}
}

// contractsAt returns the version and the size of the contract of each account
// as of the revision, according to the log.
func (m *stateMachine) contractsAt(revision primrosespar.Revision) map[primrosespar.Account]string {
	contracts := map[primrosespar.Account]string{}
	for r := primrosespar.Revision(1); r <= revision; r++ {
		var entry amender.Entry
		_ = json.Unmarshal(m.store.rows[primrosespar.ContractLogKey(r)].Value, &entry)
		contract, _ := entry.Contract()
		if entry.State == amender.StateAccepted {
			contracts[entry.Account] = fmt.Sprint(entry.Version, contract.MaxAccelerators)
		}
		if entry.State == amender.StateAccepted && entry.Deleted {
			delete(contracts, entry.Account)
		}
	}
	return contracts
}

// contractSummaries returns the version and the size of the contract of each
// account in the view.
func contractSummaries(view primrosespar.ContractView) map[primrosespar.Account]string {
	contracts := map[primrosespar.Account]string{}
	for _, c := range view.Contracts {
		contracts[c.Contract.Account] = fmt.Sprint(c.Version, c.Contract.MaxAccelerators)
	}
	return contracts
}

// TestAcceptedAmendmentsPersist guards against an accepted amendment that is
// lost or reverted, a current host that lacks an amendment older than the
// validity, two amendments of the same version that both succeed, and the
// answer "not written" for an amendment that is written.
func TestAcceptedAmendmentsPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newStateMachine().actions())
	})
}

// TestLoweredOfflineTermsWait guards against lowered offline terms that are
// accepted before the place has acknowledged them, or that are not enforced in
// the meantime.
func TestLoweredOfflineTermsWait(t *testing.T) {
	m := newStateMachine()
	ctx := context.Background()
	for base, offline := range []int{3, 1} {
		m.nextID++
		require.NoError(t, m.amend(t, 0, amender.Amendment{
			ID: fmt.Sprint(base), Account: "a", Base: primrosespar.Version(base),
			Document: fmt.Appendf(nil, contractDocument, "a", 1, offline),
		}))
	}
	_, err := m.hosts[0].Step(ctx)
	require.NoError(t, err)
	view, _ := m.hosts[0].View()
	require.Equal(t, primrosespar.Version(1), view.Contracts[0].Version)
	require.Equal(t, 1.0, view.Contracts[0].Contract.Classes[0].Offline.RatePerSecond)
	missing, err := m.amenders[0].Settle(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, []primrosespar.Place{"p"}, missing)
	require.NoError(t, m.amenders[0].Acknowledge(ctx, "p", view.Revision))
	_, err = m.amenders[0].Settle(ctx, "a")
	require.NoError(t, err)
	require.Nil(t, m.record("a").Pending)
	require.Equal(t, primrosespar.Version(2), m.record("a").Accepted.Version)
	m.clock.Sleep(8 * time.Second)
	progress, err := m.amenders[0].Progress(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, amender.PlaceRestricted, progress[0].State)
	entries, err := m.amenders[0].History(ctx, "a", 10)
	require.NoError(t, err)
	require.Len(t, entries, 3)
}
