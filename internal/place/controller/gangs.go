package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/assembler"
)

// applyPlan runs the planner and carries out its placements and preemptions.
func (c *Controller) applyPlan() {
	now := c.parts.Clock.Now()
	plan := c.planner.Plan(now)
	for _, p := range plan.Placements {
		c.applyPlacement(p, now)
	}
	for _, p := range plan.Preemptions {
		c.applyPreemption(p, now)
	}
	for _, w := range plan.Waits {
		if entry := c.gangs[w.Job]; entry != nil {
			d := c.newDecision(entry.gang, primrosespar.DecisionPlacement, w.Reason, "waits")
			d.Figures = w.Figures
			c.record(d)
		}
	}
}

// applyPlacement starts a placed job. A job that is no longer known is removed
// from the planner.
func (c *Controller) applyPlacement(p primrosespar.Placement, now time.Time) {
	entry := c.gangs[p.Job]
	if entry == nil {
		c.planner.Remove(p.Job, primrosespar.GangCancelled, now)
		return
	}
	entry.gang.Slices = p.Slices
	entry.gang.Bindings = p.Bindings
	entry.gang.Borrowed = p.Borrowed
	c.attachAssembler(entry, assembler.New(entry.gang, now, assembler.WithWorkerLease(c.options.WorkerLease)))
	d := c.newDecision(entry.gang, primrosespar.DecisionPlacement, p.Reason, "placed")
	d.Figures = p.Figures
	c.record(d)
}

// applyPreemption stops a gang whose accelerators a claim needs.
func (c *Controller) applyPreemption(p primrosespar.Preemption, now time.Time) {
	entry := c.gangs[p.Victim]
	if entry == nil || entry.assembler == nil {
		return
	}
	entry.assembler.Preempt(now)
	c.active[p.Victim] = true
	d := c.newDecision(entry.gang, primrosespar.DecisionPreemption, p.Reason, "preempted by a claim of another job")
	d.Figures = []primrosespar.Figure{{Name: "lost_work_seconds", Value: p.LostWork.Seconds()}}
	c.record(d)
}

// stepGangs steps every active gang, then sends the resulting commands in one
// call and commits the resulting writes in batches.
func (c *Controller) stepGangs(ctx context.Context) {
	now := c.parts.Clock.Now()
	mayCommit := now.After(c.commitsPausedUntil)
	var commands []primrosespar.Command
	var commits []*gangEntry
	for id := range c.active {
		entry := c.gangs[id]
		if entry == nil || entry.assembler == nil {
			delete(c.active, id)
			continue
		}
		step := entry.assembler.Step(now)
		commands = append(commands, step.Commands...)
		switch {
		case step.Commit && mayCommit && !entry.writing:
			commits = append(commits, entry)
		case step.Commit:
			entry.assembler.CommitFailed()
		case entry.assembler.Ended():
			c.finishAttempt(id, entry, now)
		case entry.assembler.Running():
			delete(c.active, id)
		}
	}
	c.sendCommands(ctx, commands)
	c.commitGangs(ctx, commits)
}

// finishAttempt removes or requeues a gang whose attempt has ended and whose
// last state is committed.
func (c *Controller) finishAttempt(id primrosespar.JobID, entry *gangEntry, now time.Time) {
	entry.gang = entry.assembler.Gang()
	c.reportOutcomes(entry)
	c.detachAssembler(entry)
	if entry.gang.State == primrosespar.GangQueued {
		c.planner.Requeue(id, now)
		return
	}
	c.planner.Remove(id, entry.gang.State, now)
	delete(c.gangs, id)
}

// sendCommands sends worker commands in a goroutine. If MaxInFlight calls are
// already in flight, the commands are dropped; their assembler sends them again
// after its resend time.
func (c *Controller) sendCommands(ctx context.Context, commands []primrosespar.Command) {
	token, owned := c.parts.Lease.Token()
	if len(commands) == 0 || !owned || c.inFlight >= c.options.MaxInFlight {
		return
	}
	c.inFlight++
	epoch := c.epoch
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, c.options.WorkerTimeout)
		defer cancel()
		results, err := c.parts.Workers.Do(callCtx, c.parts.Place, token, commands)
		c.deliver(ctx, func(context.Context) {
			c.inFlight--
			if err != nil {
				c.reportError(err)
				return
			}
			if epoch == c.epoch {
				c.handleResults(commands, results)
			}
		})
	}()
}

// deliver passes the function that applies a result to the loop.
func (c *Controller) deliver(ctx context.Context, apply func(context.Context)) {
	select {
	case c.results <- apply:
	case <-ctx.Done():
	}
}

// handleResults passes the results of commands to the gangs. A stale token
// means that another host has acquired the place lease.
func (c *Controller) handleResults(commands []primrosespar.Command, results []primrosespar.CommandResult) {
	now := c.parts.Clock.Now()
	for i, result := range results {
		switch result.Code {
		case primrosespar.CodeStaleToken:
			c.parts.Lease.StepDown()
			return
		case primrosespar.CodeOK, primrosespar.CodeNotFound:
			c.markReached(commands[i].Worker, c.loadedToken)
		default:
		}
		entry := c.gangs[commands[i].Gang]
		if entry != nil && entry.assembler != nil {
			entry.assembler.HandleResult(commands[i], result, now)
			c.active[commands[i].Gang] = true
		}
	}
}

// commitGangs writes gangs in batches, each in its own goroutine and on
// condition that neither the lease row nor the gang rows have changed.
func (c *Controller) commitGangs(ctx context.Context, entries []*gangEntry) {
	lease, held := c.parts.Lease.Held()
	for len(entries) > 0 {
		group := entries[:min(c.options.BatchSize, len(entries))]
		entries = entries[len(group):]
		if !held || c.inFlight >= c.options.MaxInFlight {
			c.failCommit(group)
			continue
		}
		txn, err := c.buildTxn(lease.Condition, group)
		if err != nil {
			c.reportError(err)
			c.failCommit(group)
			continue
		}
		c.inFlight++
		go c.writeGangs(ctx, c.epoch, txn, group)
	}
}

// failCommit tells the assemblers of the group that their write was not made.
func (c *Controller) failCommit(group []*gangEntry) {
	for _, entry := range group {
		entry.writing = false
		entry.assembler.CommitFailed()
	}
}

// attachAssembler sets the assembler of a gang, marks the gang as active and
// adds it to gangsByWorker.
func (c *Controller) attachAssembler(entry *gangEntry, a *assembler.Assembler) {
	entry.assembler = a
	id := entry.gang.Job.ID
	c.active[id] = true
	entry.slices = entry.gang.Slices
	for _, s := range entry.slices {
		if c.gangsByWorker[s.Worker] == nil {
			c.gangsByWorker[s.Worker] = map[primrosespar.JobID]bool{}
		}
		c.gangsByWorker[s.Worker][id] = true
	}
}

// detachAssembler reverses attachAssembler.
func (c *Controller) detachAssembler(entry *gangEntry) {
	entry.assembler = nil
	id := entry.gang.Job.ID
	delete(c.active, id)
	for _, s := range entry.slices {
		delete(c.gangsByWorker[s.Worker], id)
	}
}

// buildTxn returns the transaction that writes the group's rows on condition
// that the lease and the rows are unchanged.
func (c *Controller) buildTxn(lease primrosespar.Condition, group []*gangEntry) (primrosespar.Txn, error) {
	txn := primrosespar.Txn{Conditions: []primrosespar.Condition{lease}}
	for _, entry := range group {
		gang := entry.assembler.Gang()
		value, err := json.Marshal(gang)
		if err != nil {
			return primrosespar.Txn{}, eris.Wrap(err, "encode gang")
		}
		key := primrosespar.GangKey(c.parts.Place, gang.Job.ID)
		entry.writing = true
		entry.writtenState = gang.State
		txn.Conditions = append(txn.Conditions, primrosespar.Condition{Key: key, Version: entry.version})
		txn.Writes = append(txn.Writes, primrosespar.Write{Key: key, Value: value})
	}
	return txn, nil
}

// writeGangs commits one group and passes the outcome to the loop. After a
// conflict or a lost response it reads the rows back to find out whether the
// write took effect.
func (c *Controller) writeGangs(ctx context.Context, epoch uint64, txn primrosespar.Txn, group []*gangEntry) {
	callCtx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	versions, err := c.parts.Table.Commit(callCtx, txn)
	var rows []primrosespar.Row
	if err != nil && primrosespar.CodeOf(err) != primrosespar.CodeStoreUnavailable {
		rows = c.readTxnRows(ctx, txn)
	}
	c.deliver(ctx, func(context.Context) {
		c.inFlight--
		if epoch != c.epoch {
			return
		}
		for _, entry := range group {
			entry.writing = false
		}
		if err == nil {
			c.markCommitted(group, versions)
			return
		}
		c.reportError(err)
		c.resolveCommit(txn, group, rows)
	})
}

// readTxnRows reads the rows that a transaction of unknown outcome writes. It
// returns nil if the read fails too.
func (c *Controller) readTxnRows(ctx context.Context, txn primrosespar.Txn) []primrosespar.Row {
	callCtx, cancel := context.WithTimeout(ctx, c.options.TableTimeout)
	defer cancel()
	keys := make([]string, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		keys = append(keys, w.Key)
	}
	rows, err := c.parts.Table.Get(callCtx, keys...)
	if err != nil {
		return nil
	}
	return rows
}

// markCommitted passes a successful write to the assemblers of the group and
// records the new states.
func (c *Controller) markCommitted(group []*gangEntry, versions []primrosespar.Version) {
	now := c.parts.Clock.Now()
	for i, entry := range group {
		entry.version = versions[i]
		entry.assembler.Committed(entry.writtenState, now)
		entry.gang = entry.assembler.Gang()
		c.record(c.newDecision(entry.gang, primrosespar.DecisionGang, entry.gang.Reason, string(entry.writtenState)))
	}
}

// resolveCommit compares the rows read back after a failed write with what was
// written: rows that match are committed, and unchanged rows may be written
// again. Without rows the write counts as failed.
func (c *Controller) resolveCommit(txn primrosespar.Txn, group []*gangEntry, rows []primrosespar.Row) {
	c.commitsPausedUntil = c.parts.Clock.Now().Add(c.options.CommitPause)
	for i, entry := range group {
		switch {
		case rows == nil:
			entry.assembler.CommitFailed()
		case rows[i].Version > entry.version && string(rows[i].Value) == string(txn.Writes[i].Value):
			c.markCommitted(group[i:i+1], []primrosespar.Version{rows[i].Version})
		case rows[i].Version != entry.version:
			// Another holder wrote the row, so this host has lost the lease.
			c.parts.Lease.StepDown()
			return
		default:
			entry.assembler.CommitFailed()
		}
	}
}

// newDecision returns a decision record about a job.
func (c *Controller) newDecision(g primrosespar.Gang, kind primrosespar.DecisionKind, code primrosespar.Code, detail string) primrosespar.Decision {
	return primrosespar.Decision{
		Kind: kind, Code: code, Subject: string(g.Job.ID), Account: g.Job.Account, Class: g.Job.Class,
		ContractVersion: g.Job.ContractVersion, Detail: detail,
	}
}
