// Package cleaner deletes the rows of ended gangs that are older than the
// retention of their account.
//
// Only the holder of the place lease deletes, under the condition of the lease
// row. The age of a row is the time since this process first saw it ended, on
// its own clock: no stamp of another host is compared, so a new holder starts
// the count again and a row may stay longer than its retention, never shorter.
//
// # Usage
//
//	c := cleaner.New(cleaner.Parts{Place: p, Table: table, Clock: clock, Lease: lease, Retention: f})
//	deleted, err := c.Pass(ctx) // at intervals
package cleaner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
)

// Parts are what a Cleaner works with.
type Parts struct {
	Place primrosespar.Place
	Table primrosespar.Table
	Clock primrosespar.Clock
	Lease *leaser.Leaser
	// Retention returns how long ended work of the account is kept. Rows of
	// an account without a known retention are kept.
	Retention func(primrosespar.Account) (time.Duration, bool)
}

// sighting is one ended row.
type sighting struct {
	version primrosespar.Version
	// firstSeen is when this process first saw the row ended at this version.
	firstSeen time.Time
	// lastPass is the last pass that met the row.
	lastPass uint64
}

// Cleaner deletes ended rows of one place. It is not safe for concurrent use.
type Cleaner struct {
	parts      Parts
	options    Options
	leaseToken primrosespar.Token
	passes     uint64
	sightings  map[string]sighting
}

// New returns a Cleaner that has seen no row.
func New(parts Parts, opts ...Option) *Cleaner {
	return &Cleaner{parts: parts, options: newOptions(opts), sightings: map[string]sighting{}}
}

// Pass reads all rows of the place once and deletes those past their
// retention. Without the lease it does nothing. It returns the number of
// deleted rows; on an error the rest waits for the next pass.
func (c *Cleaner) Pass(ctx context.Context) (int, error) {
	c.passes++
	deleted, after := 0, ""
	for {
		if _, held := c.heldLease(); !held {
			return deleted, nil
		}
		rows, err := c.parts.Table.Scan(ctx, primrosespar.GangPrefix(c.parts.Place), after, c.options.PageSize)
		if err != nil {
			return deleted, eris.Wrap(err, "scan gangs")
		}
		for _, row := range rows {
			after = row.Key
			removed, err := c.processRow(ctx, row)
			if err != nil {
				return deleted, err
			}
			if removed {
				deleted++
			}
		}
		if len(rows) < c.options.PageSize {
			c.dropStale()
			return deleted, nil
		}
		if err := c.throttle(ctx); err != nil {
			return deleted, err
		}
	}
}

// heldLease returns the held lease. A new token starts all counts again.
func (c *Cleaner) heldLease() (leaser.Lease, bool) {
	lease, held := c.parts.Lease.Held()
	if !held {
		return lease, false
	}
	if lease.Token != c.leaseToken {
		c.leaseToken = lease.Token
		c.sightings = map[string]sighting{}
	}
	return lease, true
}

// processRow notes an ended row and deletes it once its retention has passed.
func (c *Cleaner) processRow(ctx context.Context, row primrosespar.Row) (bool, error) {
	account, ended := endedAccount(row)
	if !ended {
		return false, nil
	}
	retention, known := c.parts.Retention(account)
	if !known || !c.recordSighting(row) || c.parts.Clock.Since(c.sightings[row.Key].firstSeen) < retention {
		return false, nil
	}
	return c.deleteRow(ctx, row)
}

// endedAccount returns the account of an ended gang. A row that cannot be decoded
// is kept: the controller reports it.
func endedAccount(row primrosespar.Row) (primrosespar.Account, bool) {
	var gang struct {
		Job struct {
			Account primrosespar.Account `json:"account"`
		} `json:"job"`
		State primrosespar.GangState `json:"state"`
	}
	err := json.Unmarshal(row.Value, &gang)
	return gang.Job.Account, err == nil && gang.State.Ended()
}

// recordSighting records that the row was met and reports whether its age is counted.
func (c *Cleaner) recordSighting(row primrosespar.Row) bool {
	s, tracked := c.sightings[row.Key]
	if !tracked && len(c.sightings) >= c.options.MaxTracked {
		return false
	}
	if s.version != row.Version {
		s = sighting{version: row.Version, firstSeen: c.parts.Clock.Now()}
	}
	s.lastPass = c.passes
	c.sightings[row.Key] = s
	return true
}

// deleteRow deletes one row under the lease and the version that was seen, then
// waits so that deletes stay below their rate.
func (c *Cleaner) deleteRow(ctx context.Context, row primrosespar.Row) (bool, error) {
	lease, held := c.heldLease()
	if !held {
		return false, nil
	}
	_, err := c.parts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition, {Key: row.Key, Version: row.Version}},
		Writes:     []primrosespar.Write{{Key: row.Key, Delete: true}},
	})
	switch {
	case err == nil:
		delete(c.sightings, row.Key)
	case primrosespar.CodeOf(err) != primrosespar.CodeConflict:
		return false, eris.Wrap(err, "delete ended gang")
	}
	return err == nil, c.throttle(ctx)
}

// throttle waits for the time that one delete may take at the allowed rate.
func (c *Cleaner) throttle(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.parts.Clock.After(time.Second / time.Duration(c.options.DeletesPerSecond)):
		return nil
	}
}

// dropStale drops the counts of rows that a whole pass did not meet.
func (c *Cleaner) dropStale() {
	for key, s := range c.sightings {
		if s.lastPass != c.passes {
			delete(c.sightings, key)
		}
	}
}
