package controller

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/assembler"
)

// load reads the state of the place after this host acquired the lease: the
// contracts, the workers with the tasks that they run, the gang rows and the
// quarantines. The gang rows decide which of the tasks may go on running.
func (c *Controller) load(ctx context.Context) error {
	view, _ := c.parts.Contracts.View()
	c.contractRevision = view.Revision
	c.planner.SetContracts(view)
	entries, cursor, err := c.parts.Workers.Changes(ctx, c.parts.Place, 0)
	if err != nil {
		return eris.Wrap(err, "read workers")
	}
	c.workerCursor = cursor
	c.planner.SetWorkers(entries)
	c.updateLiveWorkers(entries)
	if err := c.loadGangs(ctx); err != nil {
		return err
	}
	if err := c.loadQuarantine(ctx); err != nil {
		return err
	}
	now := c.parts.Clock.Now()
	var orphans []primrosespar.Command
	for _, e := range entries {
		c.observeWorker(e, now)
		orphans = append(orphans, c.orphanCommands(e)...)
	}
	c.sendCommands(ctx, orphans)
	return nil
}

// loadGangs scans the gang rows of the place page by page.
func (c *Controller) loadGangs(ctx context.Context) error {
	after := ""
	for {
		rows, err := c.scan(ctx, primrosespar.GangPrefix(c.parts.Place), after)
		if err != nil {
			return eris.Wrap(err, "scan gangs")
		}
		if len(rows) == 0 {
			return nil
		}
		for _, row := range rows {
			after = row.Key
			if err := c.restoreGang(row); err != nil {
				return err
			}
		}
	}
}

// scan reads one page of rows after the given key.
func (c *Controller) scan(ctx context.Context, prefix, after string) ([]primrosespar.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	return c.parts.Table.Scan(ctx, prefix, after, c.options.PageSize)
}

// restoreGang adds the job of a row, unless it has ended or is already known. A
// queued job is queued in the planner, any other gets an assembler that resumes
// it. A row that cannot be decoded is reported and left out; tasks of such a job
// are stopped as those of any unknown one.
func (c *Controller) restoreGang(row primrosespar.Row) error {
	var g primrosespar.Gang
	if err := json.Unmarshal(row.Value, &g); err != nil {
		c.reportError(eris.Wrapf(err, "decode %s", row.Key))
		return nil
	}
	if g.State.Ended() || c.gangs[g.Job.ID] != nil {
		return nil
	}
	now := c.parts.Clock.Now()
	entry := &gangEntry{gang: g, version: row.Version}
	if g.State == primrosespar.GangQueued {
		c.gangs[g.Job.ID] = entry
		return c.enqueue(entry)
	}
	c.planner.Restore(g, now)
	c.gangs[g.Job.ID] = entry
	c.attachAssembler(entry, assembler.Resume(g, now, assembler.WithWorkerLease(c.options.WorkerLease), assembler.WithReached(c.hasReached)))
	return nil
}

// enqueue adds a queued job to the planner. A job that can never run is failed.
func (c *Controller) enqueue(entry *gangEntry) error {
	now := c.parts.Clock.Now()
	err := c.planner.Add(entry.gang.Job, now)
	if err == nil {
		return nil
	}
	c.record(c.newDecision(entry.gang, primrosespar.DecisionRefusal, primrosespar.CodeOf(err), err.Error()))
	entry.gang.State = primrosespar.GangFailed
	entry.gang.Reason = primrosespar.CodeOf(err)
	entry.gang.Slices, entry.gang.Bindings = nil, nil
	c.attachAssembler(entry, assembler.Finish(entry.gang, now))
	return nil
}

// processInbox handles the messages to the lease holder, at most once per
// InboxInterval unless a notification has arrived.
func (c *Controller) processInbox(ctx context.Context) {
	now := c.parts.Clock.Now()
	if now.Sub(c.lastInboxScan) < c.options.InboxInterval {
		return
	}
	rows, err := c.scan(ctx, primrosespar.InboxPrefix(c.parts.Place), "")
	if err != nil {
		c.reportError(err)
		return
	}
	c.lastInboxScan = now
	if len(rows) == 0 {
		return
	}
	var deletes []primrosespar.Write
	for _, row := range rows {
		handled, err := c.processMessage(ctx, row.Key)
		c.reportError(err)
		if handled {
			deletes = append(deletes, primrosespar.Write{Key: row.Key, Delete: true})
		}
	}
	c.deleteMessages(ctx, deletes)
}

// processMessage handles one message and reports whether it can be deleted.
func (c *Controller) processMessage(ctx context.Context, key string) (bool, error) {
	parts := strings.Split(strings.TrimPrefix(key, primrosespar.InboxPrefix(c.parts.Place)), "/")
	const wantParts = 2
	if len(parts) != wantParts {
		return true, nil
	}
	id := primrosespar.JobID(parts[0])
	if c.gangs[id] == nil {
		if err := c.loadJob(ctx, id); err != nil {
			return false, err
		}
	}
	if parts[1] == "cancel" {
		c.cancel(id)
	}
	return true, nil
}

// loadJob reads the row of a job that is not known yet.
func (c *Controller) loadJob(ctx context.Context, id primrosespar.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	rows, err := c.parts.Table.Get(ctx, primrosespar.GangKey(c.parts.Place, id))
	if err != nil {
		return eris.Wrap(err, "read job")
	}
	if rows[0].Version == 0 {
		return nil
	}
	return c.restoreGang(rows[0])
}

// cancel stops a gang that has been placed, or ends a queued job.
func (c *Controller) cancel(id primrosespar.JobID) {
	entry := c.gangs[id]
	if entry == nil {
		return
	}
	now := c.parts.Clock.Now()
	if entry.assembler != nil {
		entry.assembler.Stop(primrosespar.CodeCancelled, primrosespar.GangCancelled, false, now)
		c.active[id] = true
		return
	}
	entry.gang.State = primrosespar.GangCancelled
	entry.gang.Reason = primrosespar.CodeCancelled
	entry.gang.Slices, entry.gang.Bindings = nil, nil
	c.planner.Remove(id, primrosespar.GangCancelled, now)
	c.attachAssembler(entry, assembler.Finish(entry.gang, now))
}

// deleteMessages deletes messages that were handled. If the delete is lost, the
// message is handled again, which changes nothing.
func (c *Controller) deleteMessages(ctx context.Context, writes []primrosespar.Write) {
	lease, held := c.parts.Lease.Held()
	if !held || len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	_, err := c.parts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition},
		Writes:     writes,
	})
	c.reportError(err)
}
