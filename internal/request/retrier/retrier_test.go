package retrier_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/retrier"
)

// TestBudgetBoundsRetries guards against retries that multiply the load on a
// failing upstream, and against an account that uses the budget of another.
func TestBudgetBoundsRetries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := retrier.New(retrier.WithClock(clock), retrier.WithRandom(func() float64 { return 0.5 }))
	call := primrosespar.Call{Account: "a", Deadline: clock.Now().Add(time.Hour)}
	busy := primrosespar.Answer{Code: primrosespar.CodeUpstreamBusy, Ran: primrosespar.RanNot}
	retries := 0
	for range 200 {
		r.Succeeded("a")
		if _, code := r.Next(call, true, busy); code == primrosespar.CodeOK {
			retries++
		}
	}
	require.InDelta(t, 21, retries, 1)
	clock.Advance(2 * time.Second)
	_, code := r.Next(call, true, busy)
	require.Equal(t, primrosespar.CodeOK, code)
	_, code = r.Next(call, true, busy)
	require.Equal(t, primrosespar.CodeRetryBudget, code)
	call.Account = "b"
	_, code = r.Next(call, true, busy)
	require.Equal(t, primrosespar.CodeOK, code)
}

// TestRetryableOutcomes guards against a retry of a non-idempotent call that
// may have run, and against retries that would miss the deadline.
func TestRetryableOutcomes(t *testing.T) {
	notRun := primrosespar.Answer{Code: primrosespar.CodeNoUpstream, Ran: primrosespar.RanNot}
	unknown := primrosespar.Answer{Code: primrosespar.CodeOutcomeUnknown, Ran: primrosespar.RanUnknown}
	require.True(t, retrier.Retryable(false, notRun))
	require.False(t, retrier.Retryable(false, unknown))
	require.True(t, retrier.Retryable(true, unknown))
	require.False(t, retrier.Retryable(true, primrosespar.Answer{Code: primrosespar.CodeDeadlinePassed, Ran: primrosespar.RanNot}))
	clock := clockwork.NewFakeClock()
	r := retrier.New(retrier.WithClock(clock), retrier.WithRandom(func() float64 { return 0.5 }))
	_, code := r.Next(primrosespar.Call{Deadline: clock.Now().Add(time.Millisecond)}, true, notRun)
	require.Equal(t, primrosespar.CodeNoUpstream, code)
}
