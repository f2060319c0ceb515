package leaser_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const place = primrosespar.Place("tn-charguia")

// host is one process; birth tells it from the one that it replaced.
type host struct {
	*leaser.Leaser
	birth int
}

// machine drives several hosts that want one lease.
type machine struct {
	clock  *clockwork.FakeClock
	table  *keeper.Keeper
	hosts  []host
	births int
	// owners remembers which process held each token.
	owners map[primrosespar.Token]int
}

func newMachine(hosts int) *machine {
	clock := clockwork.NewFakeClock()
	m := &machine{
		clock:  clock,
		table:  keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{WritesPerSecond: -1, ReadsPerSecond: -1})),
		owners: map[primrosespar.Token]int{},
	}
	for range hosts {
		m.hosts = append(m.hosts, m.newHost())
	}
	return m
}

func (m *machine) newHost() host {
	m.births++
	return host{birth: m.births, Leaser: leaser.New(m.table, m.clock, leaser.Identity{
		Place: place, Host: primrosespar.Host(fmt.Sprintf("host-%d", m.births)),
		Incarnation: primrosespar.Incarnation(fmt.Sprintf("run-%d", m.births)),
	})}
}

// TestOneHolderAtATime guards against two hosts that both believe they hold
// the lease, and against a token that two processes used, under lost answers,
// outages, pauses and restarts.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(3)
		host := rapid.IntRange(0, len(m.hosts)-1)
		step := func(t *rapid.T) { _ = m.hosts[host.Draw(t, "host")].Step(context.Background()) }
		t.Repeat(map[string]func(*rapid.T){
			"step": step, "step again": step, "step once more": step,
			"advance": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(t *rapid.T) { m.hosts[host.Draw(t, "host")] = m.newHost() },
			"release": func(t *rapid.T) { _ = m.hosts[host.Draw(t, "host")].Release(context.Background()) },
			"faults": func(t *rapid.T) {
				m.table.SetFaults(keeper.Faults{
					WritesPerSecond: -1, ReadsPerSecond: -1,
					Outage:    rapid.IntRange(0, 7).Draw(t, "outage") == 0,
					LoseEvery: rapid.IntRange(0, 4).Draw(t, "lose"),
				})
			},
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *machine) check(t *rapid.T) {
	holders := 0
	for _, h := range m.hosts {
		lease, held := h.Held()
		if !held {
			continue
		}
		holders++
		if owner, known := m.owners[lease.Token]; known && owner != h.birth {
			t.Fatalf("token %d was held by two processes", lease.Token)
		}
		m.owners[lease.Token] = h.birth
	}
	if holders > 1 {
		t.Fatalf("%d hosts hold the lease", holders)
	}
}

// TestStaleHolderCannotCommit guards against a paused holder whose write takes
// effect after another host took over.
func TestStaleHolderCannotCommit(t *testing.T) {
	ctx := context.Background()
	m := newMachine(2)
	require.NoError(t, m.hosts[0].Step(ctx))
	stale, held := m.hosts[0].Held()
	require.True(t, held)
	require.NoError(t, m.hosts[1].Step(ctx))
	m.clock.Advance(6 * time.Second)
	require.NoError(t, m.hosts[1].Step(ctx))
	fresh, held := m.hosts[1].Held()
	require.True(t, held)
	require.Greater(t, fresh.Token, stale.Token)
	_, err := m.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{stale.Condition},
		Writes:     []primrosespar.Write{{Key: "gang/x"}},
	})
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
}

// TestTakeoverSurvivesLostAnswer guards against a host that took the lease,
// lost the answer and then waits for itself to expire.
func TestTakeoverSurvivesLostAnswer(t *testing.T) {
	ctx := context.Background()
	m := newMachine(1)
	m.table.SetFaults(keeper.Faults{LoseEvery: 1})
	require.Error(t, m.hosts[0].Step(ctx))
	m.table.SetFaults(keeper.Faults{})
	require.NoError(t, m.hosts[0].Step(ctx))
	lease, held := m.hosts[0].Held()
	require.True(t, held)
	require.Equal(t, primrosespar.Token(1), lease.Token)
}
