// Package cleaner deletes the rows of gangs that ended longer ago than the
// retention of their account.
//
// Only the holder of the place lease deletes, and each delete is conditional on
// the lease row. The age of a row is the time since this process first saw it
// ended, by its own clock: timestamps of other hosts are not used. A new holder
// therefore starts from zero, and a row may be kept longer than its retention
// but never shorter.
//
// # Usage
//
//	c := cleaner.New(cleaner.Parts{
//		Place: p, Table: table, Clock: clock, Lease: lease, Retention: f,
//	})
//	deleted, err := c.Pass(ctx) // call it periodically
package cleaner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
)

// Parts holds the dependencies of a Cleaner.
type Parts struct {
	Place primrosespar.Place
	Table primrosespar.Table
	Clock primrosespar.Clock
	Lease *leaser.Leaser
	// Retention returns how long rows of the account are kept after their gang
	// has ended. It reports false if that is unknown; such rows are kept.
	Retention func(primrosespar.Account) (time.Duration, bool)
}

// sighting records when the row of an ended gang was seen.
type sighting struct {
	version primrosespar.Version
	// firstSeen is when this process first saw the row ended at this version.
	firstSeen time.Time
	// lastPass is the number of the last pass that read the row.
	lastPass uint64
}

// Cleaner deletes rows of ended gangs in one place. It is not safe for
// concurrent use.
type Cleaner struct {
	parts      Parts
	options    Options
	leaseToken primrosespar.Token
	// passes is the number of the current pass.
	passes uint64
	// sightings holds the tracked rows by their key.
	sightings map[string]sighting
}

// New returns a Cleaner that tracks no rows yet.
func New(parts Parts, opts ...Option) *Cleaner {
	return &Cleaner{parts: parts, options: newOptions(opts), sightings: map[string]sighting{}}
}

// Pass reads all rows of the place once and deletes those whose retention has
// passed. Without the lease it does nothing. It returns the number of deleted
// rows. After an error the remaining rows are left to the next pass.
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
		if len(rows) == 0 {
			c.dropStale()
			return deleted, nil
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
		if err := c.throttle(ctx); err != nil {
			return deleted, err
		}
	}
}

// heldLease returns the lease if this process holds it. If its token is new,
// all ages start from zero.
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

// processRow tracks the row if its gang has ended and deletes it once its
// retention has passed. It reports whether it deleted the row.
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

// endedAccount returns the account of the row's gang and whether the gang has
// ended. A row that cannot be decoded does not count as ended; the controller
// reports it.
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

// recordSighting records that the row was read in this pass and reports whether
// the row is tracked. A new version of the row starts its age from zero.
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

// deleteRow deletes the row on condition that the lease is held and the version
// is unchanged, then waits to limit the rate of deletes. It reports whether the
// row was deleted.
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

// throttle waits for the interval between two deletes at the allowed rate.
func (c *Cleaner) throttle(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.parts.Clock.After(time.Second / time.Duration(c.options.DeletesPerSecond)):
		return nil
	}
}

// dropStale stops tracking rows that a complete pass did not read.
func (c *Cleaner) dropStale() {
	for key, s := range c.sightings {
		if s.lastPass != c.passes {
			delete(c.sightings, key)
		}
	}
}
