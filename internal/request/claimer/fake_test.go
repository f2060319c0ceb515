package claimer_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// fault is how one call of the fake table or object store fails.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // the call fails without an effect
	faultAnswerLost         // the write takes effect, its answer is lost
	faultWriteLost          // the write and its answer are lost
	faultWriteDelayed       // the write takes effect at applyDelayed, its answer is lost
)

// fakeTable is an in-memory table whose calls fail as nextFault returns.
type fakeTable struct {
	mu        sync.Mutex
	rows      map[string]primrosespar.Row
	versions  map[string]primrosespar.Version
	delayed   []primrosespar.Txn
	nextFault func() fault
	// ignoreConditions switches off the conditional writes that claims rely on.
	ignoreConditions bool
}

func newFakeTable(next func() fault) *fakeTable {
	return &fakeTable{rows: map[string]primrosespar.Row{}, versions: map[string]primrosespar.Version{}, nextFault: next}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]primrosespar.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextFault() == faultUnavailable {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	rows := make([]primrosespar.Row, 0, len(keys))
	for _, key := range keys {
		row := f.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []primrosespar.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault()
	errAnswerLost := primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	switch fault {
	case faultUnavailable:
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	case faultWriteLost:
		return nil, errAnswerLost
	case faultWriteDelayed:
		f.delayed = append(f.delayed, txn)
		return nil, errAnswerLost
	default:
	}
	versions, err := f.apply(txn)
	if fault == faultAnswerLost {
		return nil, errAnswerLost
	}
	return versions, err
}

// applyDelayed applies the writes that were delayed.
func (f *fakeTable) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, txn := range f.delayed {
		_, _ = f.apply(txn)
	}
	f.delayed = nil
}

func (f *fakeTable) apply(txn primrosespar.Txn) ([]primrosespar.Version, error) {
	for _, cond := range txn.Conditions {
		if f.rows[cond.Key].Version != cond.Version && !f.ignoreConditions {
			return nil, primrosespar.Fail(primrosespar.CodeConflict, "row version changed")
		}
	}
	var versions []primrosespar.Version
	for _, w := range txn.Writes {
		f.versions[w.Key]++
		versions = append(versions, f.versions[w.Key])
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = primrosespar.Row{Key: w.Key, Version: f.versions[w.Key], Value: slices.Clone(w.Value)}
	}
	return versions, nil
}

// fakeObjects is an in-memory object store that shares the table's faults.
type fakeObjects struct {
	primrosespar.Objects
	table *fakeTable
	data  map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if f.table.nextFault() != faultNone {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	f.data[name] = slices.Clone(data)
	return nil
}

func (f *fakeObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	if data, ok := f.data[name]; ok && f.table.nextFault() == faultNone {
		return data, nil
	}
	return nil, primrosespar.Fail(primrosespar.CodeNotFound, "no object")
}

// stepClock is a clock that advances at once instead of waiting.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time                  { return c.now }
func (c *stepClock) Since(t time.Time) time.Duration { return c.now.Sub(t) }
func (c *stepClock) Sleep(d time.Duration)           { c.now = c.now.Add(d) }
func (c *stepClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}
