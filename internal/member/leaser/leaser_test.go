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

// host is one process; instance tells it from the one that it replaced.
type host struct {
	*leaser.Leaser
	instance int
}

// cluster is several hosts that compete for one lease.
type cluster struct {
	clock   *clockwork.FakeClock
	table   *keeper.Keeper
	hosts   []host
	started int
	// tokenHolders are the instances that held each token.
	tokenHolders map[primrosespar.Token]int
}

func newCluster(hosts int) *cluster {
	clock := clockwork.NewFakeClock()
	c := &cluster{
		clock:        clock,
		table:        keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{WritesPerSecond: -1, ReadsPerSecond: -1})),
		tokenHolders: map[primrosespar.Token]int{},
	}
	for range hosts {
		c.hosts = append(c.hosts, c.newHost())
	}
	return c
}

// newHost starts a host with a new name.
func (c *cluster) newHost() host {
	c.started++
	return host{instance: c.started, Leaser: leaser.New(c.table, c.clock, leaser.Identity{
		Place: place, Host: primrosespar.Host(fmt.Sprintf("host-%d", c.started)),
		Incarnation: primrosespar.Incarnation(fmt.Sprintf("run-%d", c.started)),
	})}
}

// TestAtMostOneHolder guards against two hosts that hold the lease at once, and
// against two processes that use the same token, during lost responses,
// outages, pauses and restarts.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		host := rapid.IntRange(0, len(c.hosts)-1)
		step := func(t *rapid.T) { _ = c.hosts[host.Draw(t, "host")].Step(context.Background()) }
		t.Repeat(map[string]func(*rapid.T){
			"step": step, "step again": step, "step once more": step,
			"advance": func(t *rapid.T) {
				c.clock.Advance(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(t *rapid.T) { c.hosts[host.Draw(t, "host")] = c.newHost() },
			"release": func(t *rapid.T) { _ = c.hosts[host.Draw(t, "host")].Release(context.Background()) },
			"faults": func(t *rapid.T) {
				c.table.SetFaults(keeper.Faults{
					WritesPerSecond: -1, ReadsPerSecond: -1,
					Outage:    rapid.IntRange(0, 7).Draw(t, "outage") == 0,
					LoseEvery: rapid.IntRange(0, 4).Draw(t, "lose"),
				})
			},
			"": func(t *rapid.T) { c.checkHolders(t) },
		})
	})
}

// checkHolders fails the test if two hosts hold the lease or have held it under
// the same token.
func (c *cluster) checkHolders(t *rapid.T) {
	holders := 0
	for _, h := range c.hosts {
		lease, held := h.Held()
		if !held {
			continue
		}
		holders++
		if holder, known := c.tokenHolders[lease.Token]; known && holder != h.instance {
			t.Fatalf("token %d was held by two processes", lease.Token)
		}
		c.tokenHolders[lease.Token] = h.instance
	}
	if holders > 1 {
		t.Fatalf("%d hosts hold the lease", holders)
	}
}

// TestStaleHolderCannotCommit guards against a write of a paused holder that
// takes effect after another host acquired the lease.
func TestStaleHolderCannotCommit(t *testing.T) {
	ctx := context.Background()
	c := newCluster(2)
	require.NoError(t, c.hosts[0].Step(ctx))
	stale, held := c.hosts[0].Held()
	require.True(t, held)
	require.NoError(t, c.hosts[1].Step(ctx))
	c.clock.Advance(6 * time.Second)
	require.NoError(t, c.hosts[1].Step(ctx))
	fresh, held := c.hosts[1].Held()
	require.True(t, held)
	require.Greater(t, fresh.Token, stale.Token)
	_, err := c.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{stale.Condition},
		Writes:     []primrosespar.Write{{Key: "gang/x"}},
	})
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
}

// TestTakeoverSurvivesLostResponse guards against a host that acquires the
// lease without receiving the response and then waits for its own lease to
// expire.
func TestTakeoverSurvivesLostResponse(t *testing.T) {
	ctx := context.Background()
	c := newCluster(1)
	c.table.SetFaults(keeper.Faults{LoseEvery: 1})
	require.Error(t, c.hosts[0].Step(ctx))
	c.table.SetFaults(keeper.Faults{})
	require.NoError(t, c.hosts[0].Step(ctx))
	lease, held := c.hosts[0].Held()
	require.True(t, held)
	require.Equal(t, primrosespar.Token(1), lease.Token)
}
