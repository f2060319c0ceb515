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

func bookingCall(key string) primrosespar.Call {
	return primrosespar.Call{ID: "r", Account: "co-op", Class: "booking", Key: key, Body: []byte("bay 7")}
}

// TestDuplicatesRunOnce guards against two runs of one key when duplicates
// arrive at two hosts at the same time, and against a slot that a waiting
// duplicate keeps.
func TestDuplicatesRunOnce(t *testing.T) {
	place := newFakePlace()
	first, _ := place.newHost("h1", incarnation)
	second, _ := place.newHost("h2", otherIncarnation)
	place.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		time.Sleep(20 * time.Millisecond)
		return okResult(a)
	}
	bodies := make([]string, 16)
	var group conc.WaitGroup
	for i := range bodies {
		group.Go(func() {
			host := first
			if i%2 == 0 {
				host = second
			}
			bodies[i] = string(host.Serve(context.Background(), bookingCall("k")).Body)
		})
	}
	group.Wait()
	require.EqualValues(t, 1, place.sentAttempts.Load())
	for _, body := range bodies {
		require.NotEmpty(t, body)
		require.Equal(t, bodies[0], body)
	}
	require.Zero(t, place.openGrants.Load())
	require.EqualValues(t, len(bodies), place.recordedOutcomes.Load())
}

// TestRefusalByLimit guards against a claim left behind by a call that a limit
// refused, and against a refusal as not run of a key that has run.
func TestRefusalByLimit(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	refuse := func(primrosespar.Call) error { return primrosespar.Fail(primrosespar.CodeRateLimited, "") }
	accept := place.acquire
	place.acquire = refuse
	require.Equal(t, primrosespar.CodeRateLimited, host.Serve(context.Background(), bookingCall("k")).Code)
	require.Empty(t, place.table.rows)
	place.acquire = accept
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), bookingCall("k")).Code)
	place.acquire = refuse
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), bookingCall("k")).Code)
}

// TestCallerDisconnects guards against a run for a caller that disconnected
// before the request was sent, and against a lost outcome if it disconnects
// afterwards.
func TestCallerDisconnects(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	other, _ := place.newHost("h2", otherIncarnation)
	place.table.afterCommit = cancel
	require.Equal(t, primrosespar.RanNot, host.Serve(ctx, bookingCall("before")).Ran)
	require.Zero(t, place.sentAttempts.Load())
	place.table.afterCommit = nil
	ctx, cancel = context.WithCancel(context.Background())
	place.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		cancel()
		return okResult(a)
	}
	host.Serve(ctx, bookingCall("after"))
	require.Equal(t, primrosespar.CodeReplayed, other.Serve(context.Background(), bookingCall("after")).Code)
	require.Equal(t, primrosespar.CodeOK, other.Serve(context.Background(), bookingCall("before")).Code)
	require.Zero(t, place.openGrants.Load())
}

// TestStoreUnavailable guards against keys of callers that are served without a
// claim, and against minted keys that run twice or at a host that did not mint
// them.
func TestStoreUnavailable(t *testing.T) {
	place := newFakePlace()
	host, minted := place.newHost("h1", incarnation)
	other, _ := place.newHost("h2", otherIncarnation)
	place.minterHost = host
	place.viewCurrent = false
	require.Equal(t, primrosespar.CodeRestricted, host.Serve(context.Background(), bookingCall("k")).Code)
	place.table.unavailable.Store(true)
	require.Equal(t, primrosespar.CodeStoreUnavailable, host.Serve(context.Background(), bookingCall("k")).Code)
	require.Zero(t, place.sentAttempts.Load())
	key, err := minted.Mint("co-op")
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeOK, other.Serve(context.Background(), bookingCall(key)).Code)
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), bookingCall(key)).Code)
	require.EqualValues(t, 1, place.sentAttempts.Load())
	place.findMinter = false
	require.Equal(t, primrosespar.CodeOutcomeUnknown, other.Serve(context.Background(), bookingCall(key)).Code)
}

// TestOutcomeKeptWhileStoreUnavailable guards against a second run of a key
// whose outcome could not be written to the table.
func TestOutcomeKeptWhileStoreUnavailable(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	place.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result {
		place.table.unavailable.Store(true)
		return okResult(a)
	}
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), bookingCall("k")).Code)
	require.Equal(t, primrosespar.CodeReplayed, host.Serve(context.Background(), bookingCall("k")).Code)
	require.EqualValues(t, 1, place.sentAttempts.Load())
}

// TestUpstreamRefusalFreesTheKey guards against a key that can never run
// because an upstream once refused the call for lack of a slot.
func TestUpstreamRefusalFreesTheKey(t *testing.T) {
	place := newFakePlace()
	host, minted := place.newHost("h1", incarnation)
	mintedKey, err := minted.Mint("co-op")
	require.NoError(t, err)
	for _, key := range []string{"plain", mintedKey} {
		place.send = func(context.Context, forwarder.Attempt) forwarder.Result {
			return refusedResult(primrosespar.CodeUpstreamBusy, primrosespar.RanNot, true)
		}
		require.Equal(t, primrosespar.RanNot, host.Serve(context.Background(), bookingCall(key)).Ran)
		place.send = func(_ context.Context, a forwarder.Attempt) forwarder.Result { return okResult(a) }
		require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), bookingCall(key)).Code, key)
	}
}

// TestRetries guards against a retry of a non-idempotent call that may have
// run, and against "not run" in the answer after an earlier attempt may have
// run.
func TestRetries(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	results := []forwarder.Result{
		refusedResult(primrosespar.CodeOutcomeUnknown, primrosespar.RanUnknown, true),
		refusedResult(primrosespar.CodeNoUpstream, primrosespar.RanNot, false),
	}
	place.send = func(context.Context, forwarder.Attempt) forwarder.Result {
		return results[min(int(place.sentAttempts.Load()), len(results))-1]
	}
	call := bookingCall("")
	call.Class = "confirmation"
	answer := host.Serve(context.Background(), call)
	require.Equal(t, primrosespar.RanUnknown, answer.Ran)
	require.EqualValues(t, 2, place.sentAttempts.Load())
	place.sentAttempts.Store(0)
	require.Equal(t, primrosespar.RanUnknown, host.Serve(context.Background(), bookingCall("k")).Ran)
	require.EqualValues(t, 1, place.sentAttempts.Load())
	require.Zero(t, place.openGrants.Load())
}

// TestInvalidCallsAreRefused guards against calls that reach an upstream
// although they violate a limit or have no contract.
func TestInvalidCallsAreRefused(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	cases := map[primrosespar.Code]func(*primrosespar.Call){
		primrosespar.CodeUnknownAccount: func(c *primrosespar.Call) { c.Account = "x" },
		primrosespar.CodeUnknownClass:   func(c *primrosespar.Call) { c.Class = "x" },
		primrosespar.CodeKeyMissing:     func(c *primrosespar.Call) { c.Key = "" },
		primrosespar.CodeBadRequest:     func(c *primrosespar.Call) { c.Key = "a\nb" },
		primrosespar.CodeBodyTooLarge:   func(c *primrosespar.Call) { c.Body = make([]byte, 1<<20+1) },
		primrosespar.CodeDeadlinePassed: func(c *primrosespar.Call) { c.Deadline = time.Now().Add(-time.Second) },
	}
	for code, modify := range cases {
		call := bookingCall("k")
		modify(&call)
		require.Equal(t, code, host.Serve(context.Background(), call).Code)
	}
	require.Zero(t, place.sentAttempts.Load())
}

// TestStartingHost guards against a restarted host that refuses calls for
// unknown accounts before it has read the contracts, and so answers "not run"
// for a key that has run.
func TestStartingHost(t *testing.T) {
	place := newFakePlace()
	host, _ := place.newHost("h1", incarnation)
	require.Equal(t, primrosespar.CodeOK, host.Serve(context.Background(), bookingCall("k")).Code)
	place.contractsUnread = true
	answer := host.Serve(context.Background(), bookingCall("k"))
	require.Equal(t, primrosespar.CodeStarting, answer.Code)
	require.Equal(t, primrosespar.RanUnknown, answer.Ran)
	call := bookingCall("new")
	call.FirstAttempt = true
	require.Equal(t, primrosespar.RanNot, host.Serve(context.Background(), call).Ran)
}
