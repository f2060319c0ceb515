package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

// quarantineState is the failure history of the workers since the lease was
// acquired, with the state of the quarantine row.
type quarantineState struct {
	tracker *quarantiner.Quarantiner
	// version is the version of the quarantine row in the table.
	version primrosespar.Version
	// dirty is true while a change has not been written to the row; writing is
	// true while a write is in flight.
	dirty, writing bool
}

// reportOutcomes reports the tasks of a finished attempt to the quarantiner:
// those that failed or were lost and, if the job is done, the success of all
// members.
func (c *Controller) reportOutcomes(entry *gangEntry) {
	id := entry.gang.Job.ID
	for _, w := range entry.assembler.FailedWorkers() {
		c.quarantine.tracker.Report(quarantiner.Outcome{Worker: w, Job: id, Failed: true})
	}
	if entry.gang.State != primrosespar.GangDone {
		return
	}
	for _, s := range entry.slices {
		c.quarantine.tracker.Report(quarantiner.Outcome{Worker: s.Worker, Job: id})
	}
}

// advanceQuarantine starts and ends the quarantines that the quarantiner
// decides on.
func (c *Controller) advanceQuarantine() {
	if !c.options.Quarantine {
		return
	}
	now := c.parts.Clock.Now()
	tracker := c.quarantine.tracker
	tracker.SetWorkers(len(c.workers))
	for _, change := range tracker.Advance(now) {
		c.planner.SetQuarantined(change.Worker, change.Quarantined)
		c.quarantine.dirty = true
		c.recordQuarantine(change, now)
	}
}

// recordQuarantine records that a quarantine started or ended.
func (c *Controller) recordQuarantine(change quarantiner.Change, now time.Time) {
	tracker := c.quarantine.tracker
	d := primrosespar.Decision{
		Kind: primrosespar.DecisionQuarantine, Code: primrosespar.CodeOK, Subject: string(change.Worker),
		Detail: "the worker returns to service",
	}
	entries := tracker.Entries(now)
	d.Figures = []primrosespar.Figure{
		{Name: "failed_jobs", Value: float64(tracker.FailedJobs(change.Worker))},
		{Name: "quarantined", Value: float64(len(entries))},
		{Name: "workers", Value: float64(len(c.workers))},
	}
	for _, e := range entries {
		if e.Worker == change.Worker {
			d.Code, d.Detail = primrosespar.CodeWorkerQuarantined, "the worker gets no new work"
			d.Figures = append(
				d.Figures,
				primrosespar.Figure{Name: "seconds", Value: e.Remaining.Seconds()},
				primrosespar.Figure{Name: "times", Value: float64(e.Times)},
			)
		}
	}
	c.record(d)
}

// loadQuarantine restores the quarantines that the previous lease holder
// stored.
func (c *Controller) loadQuarantine(ctx context.Context) error {
	if !c.options.Quarantine {
		return nil
	}
	row, err := c.readQuarantine(ctx)
	if err != nil {
		return eris.Wrap(err, "read quarantines")
	}
	c.quarantine.version = row.Version
	if row.Version == 0 {
		return nil
	}
	var entries []quarantiner.Entry
	if err := json.Unmarshal(row.Value, &entries); err != nil {
		// The quarantines begin anew, and the next change replaces the row.
		c.reportError(eris.Wrapf(err, "decode %s", row.Key))
		return nil
	}
	c.quarantine.tracker.Restore(entries, c.parts.Clock.Now())
	for _, e := range entries {
		c.planner.SetQuarantined(e.Worker, true)
	}
	return nil
}

// readQuarantine reads the quarantine row.
func (c *Controller) readQuarantine(ctx context.Context) (primrosespar.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	rows, err := c.parts.Table.Get(ctx, primrosespar.QuarantineKey(c.parts.Place))
	if err != nil {
		return primrosespar.Row{}, err
	}
	return rows[0], nil
}

// saveQuarantine writes changed quarantines in a goroutine, on condition that
// neither the lease row nor the quarantine row has changed.
func (c *Controller) saveQuarantine(ctx context.Context) {
	state := &c.quarantine
	now := c.parts.Clock.Now()
	lease, held := c.parts.Lease.Held()
	if !held || !state.dirty || state.writing || c.inFlight >= c.options.MaxInFlight || !now.After(c.commitsPausedUntil) {
		return
	}
	value, err := json.Marshal(state.tracker.Entries(now))
	if err != nil {
		c.reportError(eris.Wrap(err, "encode quarantines"))
		return
	}
	key := primrosespar.QuarantineKey(c.parts.Place)
	txn := primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition, {Key: key, Version: state.version}},
		Writes:     []primrosespar.Write{{Key: key, Value: value}},
	}
	state.dirty, state.writing = false, true
	c.inFlight++
	go c.writeQuarantine(ctx, c.epoch, txn)
}

// writeQuarantine commits the row and passes the outcome to the loop. After a
// failure the row's version is read again, since the write may have taken
// effect, and a later round writes the row again.
func (c *Controller) writeQuarantine(ctx context.Context, epoch uint64, txn primrosespar.Txn) {
	callCtx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	versions, err := c.parts.Table.Commit(callCtx, txn)
	version := txn.Conditions[1].Version
	if err == nil {
		version = versions[0]
	} else if row, readErr := c.readQuarantine(ctx); readErr == nil {
		version = row.Version
	}
	c.deliver(ctx, func(context.Context) {
		c.inFlight--
		if epoch != c.epoch {
			return
		}
		c.quarantine.writing, c.quarantine.version = false, version
		if err != nil {
			c.quarantine.dirty = true
			c.commitsPausedUntil = c.parts.Clock.Now().Add(c.options.CommitPause)
			c.reportError(err)
		}
	})
}
