package claimer_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/claimer"
)

const hostCount = 3

// TestMain sets a fixed seed and a number of sequences that is large enough to
// detect each mechanism of the claimer if it is switched off. Command-line
// flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model drives several hosts that share one table and tracks, independently of
// it, how often each key ran and what it answered.
type model struct {
	table      *fakeTable
	clock      *stepClock
	hosts      []*claimer.Claimer
	openClaims []openClaim
	runs       map[string]int
	answers    map[string]primrosespar.Answer
}

// openClaim is a claim whose call a host may still send. Until acquired is set,
// the claim is only the result of a lookup.
type openClaim struct {
	host       int
	call       primrosespar.Call
	claim      claimer.Claim
	acquired   bool
	runsBefore int
}

func newModel(t *rapid.T) *model {
	m := &model{clock: &stepClock{now: time.Unix(0, 0)}, runs: map[string]int{}, answers: map[string]primrosespar.Answer{}}
	m.table = newFakeTable(func() fault {
		weighted := []fault{0, 0, 0, 0, 0, 0, faultUnavailable, faultAnswerLost, faultWriteLost, faultWriteDelayed}
		return rapid.SampledFrom(weighted).Draw(t, "fault")
	})
	objects := &fakeObjects{table: m.table, data: map[string][]byte{}}
	attempts := 0
	for range hostCount {
		m.hosts = append(m.hosts, claimer.New(
			claimer.WithStore(m.table, objects), claimer.WithClock(m.clock), claimer.WithQueue(3, 1<<20),
			claimer.WithAttempts(func() primrosespar.AttemptID {
				attempts++
				return primrosespar.AttemptID(fmt.Sprint("attempt-", attempts))
			})))
	}
	return m
}

// deadline returns the present time for some calls, so that lost answers stay
// unresolved.
func (m *model) deadline(t *rapid.T) time.Time {
	return m.clock.now.Add(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "left"))
}

func (m *model) lookup(t *rapid.T) {
	host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
	call := primrosespar.Call{
		Account: "co-op", Class: "booking",
		Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		Body:     rapid.SampledFrom([][]byte{[]byte("one"), []byte("one"), []byte("two")}).Draw(t, "body"),
		Deadline: m.deadline(t),
	}
	runsBefore := m.runs[call.Key]
	lookup := m.hosts[host].Lookup
	if rapid.Bool().Draw(t, "begin") {
		lookup = m.hosts[host].Begin
	}
	claim := lookup(context.Background(), call)
	m.checkClaim(t, call, claim, runsBefore)
	if claim.Status == claimer.Free || claim.Status == claimer.Run {
		acquired := claim.Status == claimer.Run
		m.openClaims = append(m.openClaims, openClaim{host: host, call: call, claim: claim, acquired: acquired, runsBefore: runsBefore})
	}
}

// advance takes the next step of one open claim: it acquires the key, or ends
// the claim with or without a send, or drops it as if the host had crashed.
func (m *model) advance(t *rapid.T) {
	if len(m.openClaims) == 0 {
		t.Skip("no open claim")
	}
	i := rapid.IntRange(0, len(m.openClaims)-1).Draw(t, "open")
	o := m.openClaims[i]
	m.openClaims = append(m.openClaims[:i:i], m.openClaims[i+1:]...)
	host := m.hosts[o.host]
	if !o.acquired {
		o.call.Deadline = m.deadline(t)
		o.claim = host.Acquire(context.Background(), o.call, o.claim)
		o.acquired = true
		m.checkClaim(t, o.call, o.claim, o.runsBefore)
		if o.claim.Status == claimer.Run {
			m.openClaims = append(m.openClaims, o)
		}
		return
	}
	switch rapid.SampledFrom([]string{"send", "unsent", "die"}).Draw(t, "end") {
	case "send":
		m.runs[o.call.Key]++
		require.Equal(t, 1, m.runs[o.call.Key], "key %s ran twice", o.call.Key)
		answer := primrosespar.Answer{Ran: primrosespar.RanDone, Status: 200, Body: []byte(o.claim.Attempt)}
		if rapid.Bool().Draw(t, "large") {
			answer.Body = append(make([]byte, claimer.InlineLimit), answer.Body...)
		}
		m.answers[o.call.Key] = answer
		host.Finish(context.Background(), o.claim, answer, true)
	case "unsent":
		host.Finish(context.Background(), o.claim, primrosespar.Answer{Ran: primrosespar.RanNot}, false)
	}
}

// checkClaim compares the status of a claim with the actual runs of the key.
func (m *model) checkClaim(t *rapid.T, call primrosespar.Call, claim claimer.Claim, runsBefore int) {
	switch claim.Status {
	case claimer.Replay:
		require.Equal(t, m.answers[call.Key], claim.Answer, "replay differs from the first answer")
	case claimer.Free:
		require.Zero(t, m.runs[call.Key], "key %s ran and is offered again", call.Key)
	case claimer.StoreUnavailable:
		if claim.Checked {
			require.Zero(t, runsBefore, "key %s ran and is refused as not run", call.Key)
		}
	case claimer.Run:
		require.Zero(t, m.runs[call.Key], "key %s ran and may run again", call.Key)
	default:
		// The other statuses make no statement about the key.
	}
}

// TestClaimsUnderFaults guards against a key that runs twice, a refusal as not
// run of a key that has run, and a replay that differs from the first answer.
// The table loses answers and loses or delays writes, hosts interleave, and
// some crash before they record an outcome.
func TestClaimsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"look":    m.lookup,
			"step":    m.advance,
			"step2":   m.advance,
			"deliver": func(*rapid.T) { m.table.applyDelayed() },
			"drain": func(t *rapid.T) {
				host := rapid.IntRange(0, hostCount-1).Draw(t, "host")
				_ = m.hosts[host].Drain(context.Background())
			},
		})
	})
}

// newClaimer returns a claimer with a fake table and clock. *next is the fault
// of each call of the table.
func newClaimer(next *fault) (*claimer.Claimer, *fakeTable, *stepClock) {
	table := newFakeTable(func() fault { return *next })
	clock := &stepClock{now: time.Unix(1000, 0)}
	attempts := 0
	return claimer.New(
		claimer.WithStore(table, &fakeObjects{table: table, data: map[string][]byte{}}),
		claimer.WithClock(clock), claimer.WithQueue(1, 1<<20), claimer.WithSweep(1, 10, time.Minute),
		claimer.WithAttempts(func() primrosespar.AttemptID {
			attempts++
			return primrosespar.AttemptID(fmt.Sprint("attempt-", attempts))
		})), table, clock
}

// TestClaimWithLostAnswerIsReleased guards against a key that stays claimed by
// an attempt that was never sent, because the write of its claim arrived late.
func TestClaimWithLostAnswerIsReleased(t *testing.T) {
	next := faultNone
	claims, table, clock := newClaimer(&next)
	call := primrosespar.Call{Account: "co-op", Key: "k", Deadline: clock.now.Add(time.Second)}
	free := claims.Lookup(context.Background(), call)
	next = faultWriteDelayed
	claim := claims.Acquire(context.Background(), call, free)
	require.Equal(t, claimer.StoreUnavailable, claim.Status)
	table.applyDelayed()
	next = faultNone
	require.Equal(t, claimer.InProgress, claims.Lookup(context.Background(), call).Status)
	require.NoError(t, claims.Drain(context.Background()))
	call.Deadline = clock.now.Add(time.Second)
	require.Equal(t, claimer.Run, claims.Begin(context.Background(), call).Status)
}

// TestQueueIsBounded guards against an unbounded queue while the table is
// unavailable, and against a key that runs again after its record was dropped.
func TestQueueIsBounded(t *testing.T) {
	next := faultNone
	claims, _, clock := newClaimer(&next)
	var started []claimer.Claim
	call := primrosespar.Call{Account: "co-op", Deadline: clock.now.Add(time.Second)}
	for _, key := range []string{"a", "b"} {
		call.Key = key
		started = append(started, claims.Begin(context.Background(), call))
	}
	next = faultUnavailable
	for _, claim := range started {
		require.False(t, claims.Finish(context.Background(), claim, primrosespar.Answer{Ran: primrosespar.RanDone}, true))
	}
	waiting, dropped := claims.Backlog()
	require.Equal(t, 1, waiting)
	require.EqualValues(t, 1, dropped)
	next = faultNone
	require.Equal(t, claimer.Unknown, claims.Begin(context.Background(), call).Status)
}

// TestSweepKeepsRecentAndOpenClaims guards against the deletion of claims that
// are recent or have not ended, which would let their keys run again.
func TestSweepKeepsRecentAndOpenClaims(t *testing.T) {
	next := faultNone
	claims, table, clock := newClaimer(&next)
	call := primrosespar.Call{Account: "co-op", Deadline: clock.now.Add(time.Second)}
	for _, key := range []string{"old", "open", "young"} {
		call.Key = key
		claim := claims.Begin(context.Background(), call)
		if key == "young" {
			clock.now = clock.now.Add(2 * time.Hour)
		}
		if key != "open" {
			require.True(t, claims.Finish(context.Background(), claim, primrosespar.Answer{Ran: primrosespar.RanDone}, true))
		}
	}
	deleted, err := claims.Sweep(context.Background(), func(primrosespar.Account) (time.Duration, bool) { return time.Hour, true })
	require.NoError(t, err)
	require.Equal(t, 1, deleted)
	require.NotContains(t, table.rows, primrosespar.ClaimKey("co-op", "old"))
	require.Len(t, table.rows, 2)
}
