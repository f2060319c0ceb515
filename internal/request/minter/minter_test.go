package minter_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/minter"
)

const (
	incarnation      = "00112233445566778899aabbccddeeff"
	otherIncarnation = "ffeeddccbbaa99887766554433221100"
)

func newMinter(clock primrosespar.Clock, inc primrosespar.Incarnation) *minter.Minter {
	return minter.New(minter.WithProcess("burnie-a", "h1", inc, []byte(inc)), minter.WithClock(clock),
		minter.WithBounds(time.Minute, 2, 10))
}

// TestMintedKeyRunsOnce guards against a second run under one key: by
// concurrent duplicates, for another body or account, by another process, under
// a forged sequence number or after expiry.
func TestMintedKeyRunsOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := newMinter(clock, incarnation)
	key, err := m.Mint("co-op")
	require.NoError(t, err)
	call := primrosespar.Call{Account: "co-op", Key: key, Body: []byte("b"), Deadline: clock.Now().Add(time.Hour)}
	first := primrosespar.Answer{Ran: primrosespar.RanDone, Body: []byte("first")}
	var runs atomic.Int64
	var group conc.WaitGroup
	for range 16 {
		group.Go(func() {
			claim := m.Begin(context.Background(), call)
			if claim.Status == minter.Run {
				runs.Add(1)
				m.Finish(claim, first, true)
				return
			}
			if claim.Status != minter.Replay || string(claim.Answer.Body) != "first" {
				t.Errorf("duplicate got %+v", claim)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 1, runs.Load())
	other := call
	other.Body = []byte("c")
	require.Equal(t, minter.KeyReused, m.Begin(context.Background(), other).Status)
	other.Account = "bascule"
	require.Equal(t, minter.Invalid, m.Begin(context.Background(), other).Status)
	require.Equal(t, minter.Foreign, newMinter(clock, otherIncarnation).Begin(context.Background(), call).Status)
	forged := call
	forged.Key = strings.Replace(key, ".1.", ".2.", 1)
	require.Equal(t, minter.Invalid, m.Begin(context.Background(), forged).Status)
	clock.Advance(2 * time.Minute)
	_, err = m.Mint("co-op")
	require.NoError(t, err)
	require.Equal(t, minter.Expired, m.Begin(context.Background(), call).Status)
}

// TestMemoryIsBounded guards against unbounded memory for keys and answers, and
// against a second run of a key whose answer was dropped.
func TestMemoryIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := newMinter(clock, incarnation)
	call := primrosespar.Call{Account: "co-op", Deadline: clock.Now().Add(time.Hour)}
	var keys []string
	for range 2 {
		key, err := m.Mint("co-op")
		require.NoError(t, err)
		keys = append(keys, key)
		call.Key = key
		m.Finish(m.Begin(context.Background(), call), primrosespar.Answer{Ran: primrosespar.RanDone, Body: []byte("7 bytes")}, true)
	}
	_, err := m.Mint("co-op")
	require.Equal(t, primrosespar.CodeQueueFull, primrosespar.CodeOf(err))
	call.Key = keys[0]
	require.Equal(t, minter.Unknown, m.Begin(context.Background(), call).Status)
	call.Key = keys[1]
	require.Equal(t, minter.Replay, m.Begin(context.Background(), call).Status)
}

// FuzzParse guards against panics, and against keys that parse without being in
// canonical form.
func FuzzParse(f *testing.F) {
	key, err := newMinter(clockwork.NewFakeClock(), incarnation).Mint("co-op")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(key)
	f.Fuzz(func(t *testing.T, key string) {
		minted, err := minter.Parse(key)
		if err == nil && minted.String() != key {
			t.Errorf("%q parses as %q", key, minted.String())
		}
	})
}
