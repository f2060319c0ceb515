package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/balancer"
)

func startTime() time.Time { return time.Unix(1000, 0) }

func entries(count int) []primrosespar.UpstreamEntry {
	list := make([]primrosespar.UpstreamEntry, count)
	for i := range list {
		list[i] = primrosespar.UpstreamEntry{Upstream: upstreamName(i), Slots: 8}
	}
	return list
}

func upstreamName(i int) primrosespar.Upstream { return primrosespar.Upstream(fmt.Sprintf("u%03d", i)) }

func newBalancer(count int) *balancer.Balancer {
	b := balancer.New(balancer.WithRandom(rand.New(rand.NewPCG(1, 2)).IntN))
	b.SetUpstreams(entries(count), startTime())
	for i := range count {
		b.SetSlots(upstreamName(i), 8, startTime())
	}
	return b
}

// runAttempts makes rounds of 4 concurrent attempts and returns the share that
// went to u000.
func runAttempts(b *balancer.Balancer, rounds int, outcome func(u primrosespar.Upstream) primrosespar.AttemptOutcome) float64 {
	hits, now := 0, startTime()
	for range rounds {
		var targets []primrosespar.Upstream
		for range 4 {
			now = now.Add(time.Millisecond)
			target, _ := b.Pick(nil, now)
			targets = append(targets, target.Upstream)
		}
		for _, u := range targets {
			if u == upstreamName(0) {
				hits++
			}
			b.Done(u, outcome(u), now)
		}
	}
	return float64(hits) / float64(rounds*4)
}

// TestFastFailuresAttractNoWork guards against an upstream that looks fast, and
// so gets more work, because it fails at once. One of four attempts fails,
// which is too few for an ejection.
func TestFastFailuresAttractNoWork(t *testing.T) {
	share := func(failure primrosespar.Code) float64 {
		attempts := 0
		return runAttempts(newBalancer(9), 500, func(u primrosespar.Upstream) primrosespar.AttemptOutcome {
			if u == upstreamName(0) {
				attempts++
			}
			if u == upstreamName(0) && attempts%4 == 0 {
				return primrosespar.AttemptOutcome{Code: failure, Sent: true, Latency: time.Millisecond}
			}
			return primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: 50 * time.Millisecond}
		})
	}
	// The same fast answers, counted as served, show the effect without the
	// penalty.
	require.Greater(t, share(primrosespar.CodeOK), 1.0/9)
	require.Less(t, share(primrosespar.CodeUpstreamError), 1.0/9)
}

// TestEjectionLimitAndProbe guards against the ejection of more than a third of
// the upstreams, and against a readmission without a probe.
func TestEjectionLimitAndProbe(t *testing.T) {
	b := newBalancer(9)
	failure := primrosespar.AttemptOutcome{Code: primrosespar.CodeUpstreamError, Sent: true}
	runAttempts(b, 100, func(primrosespar.Upstream) primrosespar.AttemptOutcome { return failure })
	require.Len(t, b.Ejected(), 3)
	now := startTime().Add(time.Minute)
	var others []primrosespar.Upstream
	for i := range 9 {
		others = append(others, upstreamName(i))
	}
	probed := b.Ejected()[0]
	for i, u := range others {
		if u == probed {
			others = append(others[:i], others[i+1:]...)
			break
		}
	}
	target, _ := b.Pick(others, now)
	require.Equal(t, probed, target.Upstream)
	second, _ := b.Pick(others, now)
	require.NotEqual(t, probed, second.Upstream, "a second attempt during the probe")
	b.Done(probed, failure, now)
	require.Contains(t, b.Ejected(), probed)
	b.SetUpstreams(entries(3), now)
	require.LessOrEqual(t, len(b.Ejected()), 1)
}

// TestLeavingIsRemembered guards against new work for an upstream that
// announced that it is leaving while the lagging list still shows it as live.
func TestLeavingIsRemembered(t *testing.T) {
	b, now := newBalancer(2), startTime()
	b.Done(upstreamName(0), primrosespar.AttemptOutcome{Code: primrosespar.CodeNotRun, Leaving: true}, now)
	b.SetUpstreams(entries(0), now)
	b.SetUpstreams(entries(2), now)
	b.SetSlots(upstreamName(1), 8, now)
	for range 8 {
		target, ok := b.Pick(nil, now)
		require.True(t, ok)
		require.Equal(t, upstreamName(1), target.Upstream)
	}
	require.False(t, b.Free(now))
	require.Equal(t, []primrosespar.Upstream{upstreamName(0)}, b.Leaving(now))
}
