package follower_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// clock is a virtual clock. Waiting advances it immediately.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time                  { return c.now }
func (c *clock) Since(t time.Time) time.Duration { return c.now.Sub(t) }
func (c *clock) Sleep(d time.Duration)           { c.now = c.now.Add(d) }
func (c *clock) After(d time.Duration) <-chan time.Time {
	c.Sleep(d)
	done := make(chan time.Time, 1)
	done <- c.now
	return done
}

// store is a table that keeps all its earlier states.
type store struct {
	clock       *clock
	rows        map[string]primrosespar.Row
	history     []map[string]primrosespar.Row
	changedAt   []time.Time
	delayed     []primrosespar.Txn
	unavailable bool
}

// newStore returns an empty store.
func newStore(c *clock) *store {
	empty := map[string]primrosespar.Row{}
	return &store{clock: c, rows: empty, history: []map[string]primrosespar.Row{empty}, changedAt: []time.Time{c.now}}
}

// apply commits the transaction if its conditions hold.
func (s *store) apply(txn primrosespar.Txn) error {
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return primrosespar.Fail(primrosespar.CodeConflict, "%s", c.Key)
		}
	}
	next := maps.Clone(s.rows)
	for _, w := range txn.Writes {
		next[w.Key] = primrosespar.Row{Key: w.Key, Version: next[w.Key].Version + 1, Value: w.Value}
	}
	s.rows = next
	s.history = append(s.history, next)
	s.changedAt = append(s.changedAt, s.clock.now)
	return nil
}

// client is the connection of one process to the store. It injects faults.
type client struct {
	*store
	// loseAnswer drops the answer to the next commit. delayCommit does so too
	// and delays the commit itself.
	loseAnswer, delayCommit bool
	// staleBy is how many commits out of date the next read is.
	staleBy int
	// latency is the time between the next read of the store and its answer.
	// beforeAnswer runs after that read and before its answer arrives.
	latency      time.Duration
	beforeAnswer func()
	// skipFirstLogRow omits the first row of scans of the log.
	skipFirstLogRow bool
	// beforeCommit runs before the next commit and stands for what another
	// process does at that time.
	beforeCommit func()
}

// read returns the state of the store that the next read sees.
func (c *client) read() (map[string]primrosespar.Row, error) {
	if c.unavailable {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	rows := c.history[max(0, len(c.history)-1-c.staleBy)]
	c.staleBy = 0
	return rows, nil
}

func (c *client) Get(_ context.Context, keys ...string) ([]primrosespar.Row, error) {
	rows, err := c.read()
	if err != nil {
		return nil, err
	}
	if beforeAnswer := c.beforeAnswer; beforeAnswer != nil {
		c.beforeAnswer = nil
		beforeAnswer()
	}
	c.clock.Sleep(c.latency)
	c.latency = 0
	var result []primrosespar.Row
	for _, key := range keys {
		row := rows[key]
		row.Key = key
		result = append(result, row)
	}
	return result, nil
}

func (c *client) Scan(_ context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	rows, err := c.read()
	if err != nil {
		return nil, err
	}
	var result []primrosespar.Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(result) < limit {
			result = append(result, rows[key])
		}
	}
	if c.skipFirstLogRow && prefix == "contract_log/" && len(result) > 0 {
		result = result[1:]
	}
	return result, nil
}

func (c *client) Commit(_ context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if beforeCommit := c.beforeCommit; beforeCommit != nil {
		c.beforeCommit = nil
		beforeCommit()
	}
	if c.unavailable {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	loseAnswer, delayCommit := c.loseAnswer, c.delayCommit
	c.loseAnswer, c.delayCommit = false, false
	if delayCommit {
		c.delayed = append(c.delayed, txn)
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	err := c.apply(txn)
	if loseAnswer {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	return make([]primrosespar.Version, len(txn.Writes)), err
}
