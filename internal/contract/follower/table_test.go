package follower_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// clock is virtual time; waiting moves it forward at once.
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

// store is the table's truth with every earlier state of it.
type store struct {
	clock   *clock
	rows    map[string]primrosespar.Row
	past    []map[string]primrosespar.Row
	changed []time.Time
	delayed []primrosespar.Txn
	away    bool
}

func newStore(c *clock) *store {
	empty := map[string]primrosespar.Row{}
	return &store{clock: c, rows: empty, past: []map[string]primrosespar.Row{empty}, changed: []time.Time{c.now}}
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
	s.past = append(s.past, next)
	s.changed = append(s.changed, s.clock.now)
	return nil
}

// client is the table as one process sees it, with the faults of its link.
type client struct {
	*store
	// lose drops the answer to the next commit; hold also delays the commit.
	lose, hold bool
	// back answers the next read from a state that many commits ago.
	back int
	// slow is the time that the next answer takes after the read was done.
	// during runs while that answer is on its way.
	slow   time.Duration
	during func()
	// torn leaves the first row out of log scans.
	torn bool
	// before runs ahead of the next commit, as another process would.
	before func()
}

func (c *client) read() (map[string]primrosespar.Row, error) {
	if c.away {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "away")
	}
	rows := c.past[max(0, len(c.past)-1-c.back)]
	c.back = 0
	return rows, nil
}

func (c *client) Get(_ context.Context, keys ...string) ([]primrosespar.Row, error) {
	rows, err := c.read()
	if err != nil {
		return nil, err
	}
	if f := c.during; f != nil {
		c.during = nil
		f()
	}
	c.clock.Sleep(c.slow)
	c.slow = 0
	var got []primrosespar.Row
	for _, key := range keys {
		row := rows[key]
		row.Key = key
		got = append(got, row)
	}
	return got, nil
}

func (c *client) Scan(_ context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	rows, err := c.read()
	if err != nil {
		return nil, err
	}
	var got []primrosespar.Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(got) < limit {
			got = append(got, rows[key])
		}
	}
	if c.torn && prefix == "contract_log/" && len(got) > 0 {
		got = got[1:]
	}
	return got, nil
}

func (c *client) Commit(_ context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if f := c.before; f != nil {
		c.before = nil
		f()
	}
	if c.away {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "away")
	}
	lose, hold := c.lose, c.hold
	c.lose, c.hold = false, false
	if hold {
		c.delayed = append(c.delayed, txn)
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	err := c.apply(txn)
	if lose {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	return make([]primrosespar.Version, len(txn.Writes)), err
}
