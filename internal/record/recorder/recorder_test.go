package recorder_test

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/record/recorder"
)

// fakeObjects is an object store that can lose the response to a write.
type fakeObjects struct {
	stored       map[string][]byte
	loseResponse bool
}

func (o *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	o.stored[name] = data
	if o.loseResponse {
		return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no response")
	}
	return nil
}

func (o *fakeObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	return o.stored[name], nil
}

func (o *fakeObjects) Names(_ context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(o.stored)) {
		if strings.HasPrefix(name, prefix) && name > after && len(names) < limit {
			names = append(names, name)
		}
	}
	return names, nil
}

// TestRecordsAreWrittenOrCounted guards against a decision that is neither
// written nor counted as lost, against duplicates after a lost response, and
// against batches that exceed the budget.
func TestRecordsAreWrittenOrCounted(t *testing.T) {
	const recorded, capacity, budget = 100, 60, 5000
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC))
	store := &fakeObjects{stored: map[string][]byte{}, loseResponse: true}
	r := recorder.New(recorder.WithObjects(store), recorder.WithClock(clock), recorder.WithCapacity(capacity),
		recorder.WithBudget(func() int { return budget }), recorder.WithHost("p", "h", "i"))
	start := clock.Now()
	// This record is too large for any batch and must not block the others.
	r.Record(primrosespar.Decision{Figures: []primrosespar.Figure{{Name: strings.Repeat("n", budget)}}})
	for i := range recorded - 1 {
		r.Record(primrosespar.Decision{
			Kind: primrosespar.DecisionOutcome, Subject: "s", Detail: strings.Repeat("é", 1000*(i%2)),
			Figures: []primrosespar.Figure{{Name: "n", Value: math.NaN()}},
		})
	}
	for range 100 {
		_ = r.Flush(context.Background())
		store.loseResponse = !store.loseResponse
		clock.Advance(10 * time.Second)
	}
	for _, data := range store.stored {
		require.LessOrEqual(t, len(data), budget)
	}
	got, missing, err := recorder.Read(context.Background(), store, start, clock.Now(),
		func(primrosespar.Decision) bool { return true })
	require.NoError(t, err)
	require.False(t, missing)
	written, lost := 0, 0
	sequences := map[uint64]bool{}
	for _, d := range got {
		require.False(t, sequences[d.Sequence], "sequence %d was written twice", d.Sequence)
		sequences[d.Sequence] = true
		if d.Kind == primrosespar.DecisionLoss {
			lost += int(d.Figures[0].Value)
			continue
		}
		written++
	}
	require.Equal(t, capacity-1, written)
	require.Equal(t, recorded, written+lost)
	require.Equal(t, uint64(lost), r.Lost())
}

// TestPriorityDecisionsAreWrittenFirst guards against decisions about jobs that
// are written late or lost because records of calls fill the buffer and use up
// the budget.
func TestPriorityDecisionsAreWrittenFirst(t *testing.T) {
	const capacity = 50
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC))
	store := &fakeObjects{stored: map[string][]byte{}}
	r := recorder.New(recorder.WithObjects(store), recorder.WithClock(clock), recorder.WithCapacity(capacity),
		recorder.WithBudget(func() int { return 0 }), recorder.WithHost("p", "h", "i"))
	start := clock.Now()
	for range 2 * capacity {
		r.Record(primrosespar.Decision{Kind: primrosespar.DecisionOutcome, Subject: "call"})
	}
	r.Record(primrosespar.Decision{Kind: primrosespar.DecisionGang, Subject: "job"})
	require.NoError(t, r.Flush(context.Background()))
	got, _, err := recorder.Read(context.Background(), store, start, clock.Now().Add(time.Second),
		func(d primrosespar.Decision) bool { return d.Subject == "job" })
	require.NoError(t, err)
	require.Len(t, got, 1)
	require.Equal(t, uint64(capacity+1), r.Lost())
}
