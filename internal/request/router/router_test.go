package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/forwarder"
)

const (
	incarnation      = "00112233445566778899aabbccddeeff"
	otherIncarnation = "ffeeddccbbaa99887766554433221100"
)

func booking(key string) primrosespar.Call {
	return primrosespar.Call{ID: "r", Account: "co-op", Class: "booking", Key: key, Body: []byte("bay 7")}
}

// TestDuplicatesRunOnce guards against two runs of one key at two hosts, and
// against a slot held while a duplicate waits.
func TestDuplicatesRunOnce(t *testing.T) {
	w := newWorld()
	first, _ := w.host("h1", incarnation)
	second, _ := w.host("h2", otherIncarnation)
	w.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		time.Sleep(20 * time.Millisecond)
		return ok(a)
	}
	bodies := make([]string, 16)
	var group conc.WaitGroup
	for i := range bodies {
		group.Go(func() {
			host := first
			if i%2 == 0 {
				host = second
			}
			bodies[i] = string(host.Serve(context.Background(), booking("k")).Body)
		})
	}
	group.Wait()
	require.EqualValues(t, 1, w.sent.Load())
	for _, body := range bodies {
		require.NotEmpty(t, body)
		require.Equal(t, bodies[0], body)
	}
	require.Zero(t, w.grants.Load())
	require.EqualValues(t, len(bodies), w.outcomes.Load())
}

// TestRefusalByLimit guards against a claim left by a refused call, and
// against a refusal that denies an earlier run of the key.
func TestRefusalByLimit(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	refuse := func(primrosespar.Call) error { return primrosespar.Fail(primrosespar.CodeRateLimited, "") }
	grant := w.acquire
	w.acquire = refuse
	require.Equal(t, primrosespar.CodeRateLimited, host.Serve(context.Background(), booking("k")).Code)
	require.Empty(t, w.table.rows)
	w.acquire = grant
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), booking("k")).Code)
	w.acquire = refuse
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), booking("k")).Code)
}

// TestCallerLeaves guards against a run for a caller that left before the
// send, and against an outcome lost because the caller left after it.
func TestCallerLeaves(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	ctx, leave := context.WithCancel(context.Background())
	other, _ := w.host("h2", otherIncarnation)
	w.table.committed = leave
	require.Equal(t, primrosespar.RanNot, host.Serve(ctx, booking("before")).Ran)
	require.Zero(t, w.sent.Load())
	w.table.committed = nil
	ctx, leave = context.WithCancel(context.Background())
	w.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		leave()
		return ok(a)
	}
	host.Serve(ctx, booking("after"))
	require.Equal(t, primrosespar.CodeReplayed, other.Serve(context.Background(), booking("after")).Code)
	require.Equal(t, primrosespar.CodeOK, other.Serve(context.Background(), booking("before")).Code)
	require.Zero(t, w.grants.Load())
}

// TestWithoutTable guards against plain keys served without a claim, and
// against minted keys that run twice or at another host.
func TestWithoutTable(t *testing.T) {
	w := newWorld()
	host, minted := w.host("h1", incarnation)
	other, _ := w.host("h2", otherIncarnation)
	w.peer = host
	w.current = false
	require.Equal(t, primrosespar.CodeRestricted, host.Serve(context.Background(), booking("k")).Code)
	w.table.away.Store(true)
	require.Equal(t, primrosespar.CodeStoreUnavailable, host.Serve(context.Background(), booking("k")).Code)
	require.Zero(t, w.sent.Load())
	key, err := minted.Mint("co-op")
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeOK, other.Serve(context.Background(), booking(key)).Code)
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), booking(key)).Code)
	require.EqualValues(t, 1, w.sent.Load())
	w.find = false
	require.Equal(t, primrosespar.CodeOutcomeUnknown, other.Serve(context.Background(), booking(key)).Code)
}

// TestOutcomeKeptWithoutTable guards against a second run of a key whose
// outcome the table did not take.
func TestOutcomeKeptWithoutTable(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	w.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		w.table.away.Store(true)
		return ok(a)
	}
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), booking("k")).Code)
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), booking("k")).Code)
	require.EqualValues(t, 1, w.sent.Load())
}

// TestUpstreamRefusalFreesTheKey guards against a booking that can never be
// made since an upstream once had no slot for it.
func TestUpstreamRefusalFreesTheKey(t *testing.T) {
	w := newWorld()
	host, minted := w.host("h1", incarnation)
	mintedKey, err := minted.Mint("co-op")
	require.NoError(t, err)
	for _, key := range []string{"plain", mintedKey} {
		w.send = func(context.Context, forwarder.Attempt) forwarder.Result {
			return refused(primrosespar.CodeUpstreamBusy, primrosespar.RanNot, true)
		}
		require.Equal(t, primrosespar.RanNot, host.Serve(context.Background(), booking(key)).Ran)
		w.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result { return ok(a) }
		require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), booking(key)).Code, key)
	}
}

// TestRetries guards against retries of what may have run, and against "not
// run" after an attempt that may have run.
func TestRetries(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	results := []forwarder.Result{
		refused(primrosespar.CodeOutcomeUnknown, primrosespar.RanUnknown, true),
		refused(primrosespar.CodeNoUpstream, primrosespar.RanNot, false),
	}
	w.send = func(context.Context, forwarder.Attempt) forwarder.Result {
		return results[min(int(w.sent.Load()), len(results))-1]
	}
	call := booking("")
	call.Class = "confirmation"
	answer := host.Serve(context.Background(), call)
	require.Equal(t, primrosespar.RanUnknown, answer.Ran)
	require.EqualValues(t, 2, w.sent.Load())
	w.sent.Store(0)
	require.Equal(t, primrosespar.RanUnknown, host.Serve(context.Background(), booking("k")).Ran)
	require.EqualValues(t, 1, w.sent.Load())
	require.Zero(t, w.grants.Load())
}

// TestChecks guards against calls that reach an upstream against their
// contract.
func TestChecks(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	cases := map[primrosespar.Code]func(*primrosespar.Call){
		primrosespar.CodeUnknownAccount: func(c *primrosespar.Call) { c.Account = "x" },
		primrosespar.CodeUnknownClass:   func(c *primrosespar.Call) { c.Class = "x" },
		primrosespar.CodeKeyMissing:     func(c *primrosespar.Call) { c.Key = "" },
		primrosespar.CodeBadRequest:     func(c *primrosespar.Call) { c.Key = "a\nb" },
		primrosespar.CodeBodyTooLarge:   func(c *primrosespar.Call) { c.Body = make([]byte, 1<<20+1) },
		primrosespar.CodeDeadlinePassed: func(c *primrosespar.Call) { c.Deadline = time.Now().Add(-time.Second) },
	}
	for code, change := range cases {
		call := booking("k")
		change(&call)
		require.Equal(t, code, host.Serve(context.Background(), call).Code)
	}
	require.Zero(t, w.sent.Load())
}

// TestStartingHost guards against a restarted host that takes the accounts for
// missing before it has read the contracts, and so denies an earlier run.
func TestStartingHost(t *testing.T) {
	w := newWorld()
	host, _ := w.host("h1", incarnation)
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), booking("k")).Code)
	w.unread = true
	answer := host.Serve(context.Background(), booking("k"))
	require.Equal(t, primrosespar.CodeStarting, answer.Code)
	require.Equal(t, primrosespar.RanUnknown, answer.Ran)
	call := booking("new")
	call.FirstAttempt = true
	require.Equal(t, primrosespar.RanNot, host.Serve(context.Background(), call).Ran)
}
