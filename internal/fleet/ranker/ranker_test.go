package ranker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/ranker"
)

// now is the time at which the tests rank.
func now() time.Time { return time.Unix(1_000_000, 0) }

// work returns a step that takes 4 s and has waited, of a job that should end in
// 10 s.
func work(priority int, waited time.Duration, changes ...func(*ranker.Work)) ranker.Work {
	w := ranker.Work{
		Priority: priority, Since: now().Add(-waited), Objective: 10 * time.Second, Remaining: 4 * time.Second, Room: 256,
	}
	for _, change := range changes {
		change(&w)
	}
	return w
}

// TestOrder guards against work that is placed before other work which loses
// more by waiting.
func TestOrder(t *testing.T) {
	guaranteed := func(w *ranker.Work) { w.Guaranteed = true }
	longRunning := func(w *ranker.Work) { w.LongRunning = true }
	large := func(w *ranker.Work) { w.Room *= 16 }
	busyAccount := func(w *ranker.Work) { w.AccountUse = 2 }
	busyQueue := func(w *ranker.Work) { w.QueueUse = 2 }
	for name, ordered := range map[string][]ranker.Work{
		"urgent first": {
			work(0, 5*time.Second, guaranteed), work(0, time.Second, guaranteed), work(0, 8*time.Second), work(1, 6*time.Second),
			work(0, 27*time.Second),
		},
		"guarantee by deadline":       {work(0, 8*time.Second, guaranteed), work(0, 0, guaranteed)},
		"soon late first":             {work(1, 6*time.Second), work(1, 3*time.Second), work(1, 0)},
		"soon late of lower priority": {work(2, 6*time.Second), work(1, 0), work(2, 0)},
		"priority if equally late":    {work(1, 6*time.Second), work(2, 6*time.Second)},
		"late gives way until its value ends": {
			work(1, 24*time.Second), work(1, 6*time.Second), work(1, 8*time.Second), work(1, 31*time.Second),
		},
		"small before large":          {work(1, 3*time.Second), work(1, 3*time.Second, large)},
		"large that would be late":    {work(1, 6*time.Second, large), work(1, 0)},
		"account that uses less":      {work(1, 3*time.Second), work(1, 3*time.Second, busyAccount)},
		"queue that uses less":        {work(1, 3*time.Second), work(1, 3*time.Second, busyQueue)},
		"long-running at any time":    {work(1, time.Hour, longRunning), work(1, 0, longRunning), work(1, 3*time.Second)},
		"no value, but waited longer": {work(1, 700*time.Second), work(1, 6*time.Second), work(1, 40*time.Second), work(1, 31*time.Second)},
	} {
		r := ranker.New(ranker.DefaultPriorityRatio)
		positions := make([]ranker.Position, 0, len(ordered))
		for _, w := range ordered {
			positions = append(positions, r.Rank(w, now()))
		}
		require.True(t, slices.IsSortedFunc(positions, ranker.Position.Compare), "%s: %+v", name, positions)
	}
}

// TestDue guards against work that is held back until its caller loses by it.
func TestDue(t *testing.T) {
	r := ranker.New(ranker.DefaultPriorityRatio)
	for _, c := range []struct {
		waited      time.Duration
		onTime, due bool
		slack       time.Duration
	}{
		{0, true, false, 6 * time.Second},
		{time.Second, true, false, 5 * time.Second},
		{2 * time.Second, true, true, 4 * time.Second},
		{6 * time.Second, true, true, 0},
		{7 * time.Second, false, true, 19 * time.Second},
		{26 * time.Second, false, true, 0},
		{27 * time.Second, false, false, -time.Second},
	} {
		p := r.Rank(work(1, c.waited), now())
		require.Equal(t, c.onTime, p.OnTime, c.waited)
		require.Equal(t, c.due, p.Due, c.waited)
		require.Equal(t, c.slack, p.Slack, c.waited)
	}
}
