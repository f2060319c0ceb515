package follower_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/follower"
)

// TestPollLoop guards against a loop that does not end with its context, polls
// more often than once per second, lets the view expire between polls, or does
// not poll at once when a heartbeat announced a newer revision.
func TestPollLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newStateMachine()
		c := &countingClient{client: m.hostClients[0]}
		f := follower.New(follower.WithTable(c), follower.WithClock(clockwork.NewRealClock()))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			require.True(t, f.Current())
		}
		require.LessOrEqual(t, c.reads.Load(), int64(12))
		c.mu.Lock()
		require.NoError(t, m.amend(t, 0, amender.Amendment{ID: "x", Account: "a", Document: fmt.Appendf(nil, contractDocument, "a", 1, 1)}))
		c.mu.Unlock()
		f.Notice(1)
		synctest.Wait()
		view, _ := f.View()
		require.Equal(t, primrosespar.Revision(1), view.Revision)
		c.mu.Lock()
		m.store.unavailable = true
		c.mu.Unlock()
		reads := c.reads.Load()
		time.Sleep(60 * time.Second)
		synctest.Wait()
		require.False(t, f.Current())
		require.Less(t, c.reads.Load()-reads, int64(30))
		cancel()
		<-done
	})
}

// countingClient counts the calls of Get.
type countingClient struct {
	*client
	// mu protects the store, which the loop and the test use.
	mu    sync.Mutex
	reads atomic.Int64
}

func (c *countingClient) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	c.reads.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client.Get(ctx, keys...)
}

func (c *countingClient) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client.Scan(ctx, prefix, after, limit)
}

// TestRacingGuaranteesMustFit guards against two accounts that both get the
// last block, because each amendment was checked before the other was written.
func TestRacingGuaranteesMustFit(t *testing.T) {
	m := newStateMachine()
	workers := amender.WithWorkers(func(context.Context) ([]primrosespar.WorkerEntry, error) {
		return []primrosespar.WorkerEntry{{Place: "p", Rack: "r", Accelerators: 8}}, nil
	})
	var errs []error
	amend := func(c *client, account primrosespar.Account) {
		document := fmt.Sprintf(contractDocument, account, 8, 1) + "[[guarantees]]\nplace = \"p\"\nblock = 8\ncount = 1\n"
		a := amender.New(amender.WithTable(c), amender.WithClock(m.clock), amender.WithPlaces("p"), workers)
		_, err := a.Amend(context.Background(), amender.Amendment{ID: string(account), Account: account, Document: []byte(document)})
		errs = append(errs, err)
	}
	m.operatorClients[0].beforeCommit = func() { amend(m.operatorClients[1], "b") }
	amend(m.operatorClients[0], "a")
	require.NoError(t, errs[0])
	require.Equal(t, primrosespar.CodeGuaranteesDontPack, primrosespar.CodeOf(errs[1]))
	require.Len(t, m.contractsAt(9), 1)
}

// TestSecondOfTwoOperatorsGetsConflict guards against an amendment that
// replaces a later version than the one that it names, and against an error
// that does not name the versions.
func TestSecondOfTwoOperatorsGetsConflict(t *testing.T) {
	m := newStateMachine()
	newAmendment := func(id string, base primrosespar.Version) amender.Amendment {
		return amender.Amendment{ID: id, Account: "a", Base: base, Document: fmt.Appendf(nil, contractDocument, "a", 1, 1)}
	}
	require.NoError(t, m.amend(t, 0, newAmendment("first", 0)))
	m.operatorClients[0].beforeCommit = func() { require.NoError(t, m.amend(t, 1, newAmendment("quick", 1))) }
	err := m.amend(t, 0, newAmendment("slow", 1))
	require.Equal(t, primrosespar.CodeVersionConflict, primrosespar.CodeOf(err))
	require.ErrorContains(t, err, "contract a has version 2, the amendment names version 1")
	require.Equal(t, "quick", m.record("a").Accepted.AmendmentID)
	// The first amendment is still found in the log although a later one
	// follows it.
	require.NoError(t, m.amend(t, 1, newAmendment("first", 0)))
}
