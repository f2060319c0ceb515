package controller

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/assembler"
)

// load reads the place's gangs after a change of holder. The workers say
// what they run; the rows say what they may run.
func (r *Controller) load(ctx context.Context) error {
	view, _ := r.parts.Contracts.View()
	r.revision = view.Revision
	r.planner.SetContracts(view)
	entries, cursor, err := r.parts.Workers.Changes(ctx, r.parts.Place, 0)
	if err != nil {
		return eris.Wrap(err, "read workers")
	}
	r.cursor = cursor
	r.planner.SetWorkers(entries)
	r.noteWorkers(entries)
	if err := r.recoverGangs(ctx); err != nil {
		return err
	}
	if err := r.loadQuarantine(ctx); err != nil {
		return err
	}
	now := r.parts.Clock.Now()
	var orphans []primrosespar.Command
	for _, e := range entries {
		r.observe(e, now)
		orphans = append(orphans, r.orphans(e)...)
	}
	r.send(ctx, orphans)
	return nil
}

// recoverGangs scans the rows of the place page by page.
func (r *Controller) recoverGangs(ctx context.Context) error {
	after := ""
	for {
		rows, err := r.scan(ctx, primrosespar.GangPrefix(r.parts.Place), after)
		if err != nil {
			return eris.Wrap(err, "scan gangs")
		}
		for _, row := range rows {
			after = row.Key
			if err := r.restore(row); err != nil {
				return err
			}
		}
		if len(rows) < r.options.Page {
			return nil
		}
	}
}

func (r *Controller) scan(ctx context.Context, prefix, after string) ([]primrosespar.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	return r.parts.Table.Scan(ctx, prefix, after, r.options.Page)
}

// restore takes over one row.
func (r *Controller) restore(row primrosespar.Row) error {
	var g primrosespar.Gang
	if err := json.Unmarshal(row.Value, &g); err != nil {
		return eris.Wrapf(err, "decode %s", row.Key)
	}
	if g.State.Ended() || r.gangs[g.Job.ID] != nil {
		return nil
	}
	now := r.parts.Clock.Now()
	entry := &gang{row: g, version: row.Version}
	if g.State == primrosespar.GangQueued {
		r.gangs[g.Job.ID] = entry
		return r.enqueue(entry)
	}
	r.planner.Restore(g, now)
	r.gangs[g.Job.ID] = entry
	r.drive(entry, assembler.Resume(g, now, assembler.WithWorkerLease(r.options.WorkerLease)))
	return nil
}

// enqueue gives the planner a queued job; one that can never run ends here.
func (r *Controller) enqueue(entry *gang) error {
	now := r.parts.Clock.Now()
	err := r.planner.Add(entry.row.Job, now)
	if err == nil {
		return nil
	}
	r.record(r.decision(entry.row, primrosespar.DecisionRefusal, primrosespar.CodeOf(err), err.Error()))
	entry.row.State = primrosespar.GangFailed
	entry.row.Reason = primrosespar.CodeOf(err)
	entry.row.Slices, entry.row.Bindings = nil, nil
	r.drive(entry, assembler.Finish(entry.row, now))
	return nil
}

// takeInbox scans the messages to the holder.
func (r *Controller) takeInbox(ctx context.Context) {
	now := r.parts.Clock.Now()
	if now.Sub(r.inbox) < r.options.Inbox {
		return
	}
	rows, err := r.scan(ctx, primrosespar.InboxPrefix(r.parts.Place), "")
	if err != nil {
		r.fail(err)
		return
	}
	r.inbox = now
	if len(rows) == 0 {
		return
	}
	var done []primrosespar.Write
	for _, row := range rows {
		taken, err := r.takeMessage(ctx, row.Key)
		r.fail(err)
		if taken {
			done = append(done, primrosespar.Write{Key: row.Key, Delete: true})
		}
	}
	r.clear(ctx, done)
}

// takeMessage handles one message and reports whether it is done with.
func (r *Controller) takeMessage(ctx context.Context, key string) (bool, error) {
	parts := strings.Split(strings.TrimPrefix(key, primrosespar.InboxPrefix(r.parts.Place)), "/")
	const wantParts = 2
	if len(parts) != wantParts {
		return true, nil
	}
	id := primrosespar.JobID(parts[0])
	if r.gangs[id] == nil {
		if err := r.loadJob(ctx, id); err != nil {
			return false, err
		}
	}
	if parts[1] == "cancel" {
		r.cancel(id)
	}
	return true, nil
}

// loadJob reads the row of a job that this holder does not know yet.
func (r *Controller) loadJob(ctx context.Context, id primrosespar.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	rows, err := r.parts.Table.Get(ctx, primrosespar.GangKey(r.parts.Place, id))
	if err != nil {
		return eris.Wrap(err, "read job")
	}
	if rows[0].Version == 0 {
		return nil
	}
	return r.restore(rows[0])
}

// cancel ends a job in whatever state it is.
func (r *Controller) cancel(id primrosespar.JobID) {
	entry := r.gangs[id]
	if entry == nil {
		return
	}
	now := r.parts.Clock.Now()
	if entry.assembler != nil {
		entry.assembler.Stop(primrosespar.CodeCancelled, primrosespar.GangCancelled, false, now)
		r.active[id] = true
		return
	}
	entry.row.State = primrosespar.GangCancelled
	entry.row.Reason = primrosespar.CodeCancelled
	entry.row.Slices, entry.row.Bindings = nil, nil
	r.planner.Remove(id, primrosespar.GangCancelled, now)
	r.drive(entry, assembler.Finish(entry.row, now))
}

// clear deletes messages that were taken over. If the delete is lost the
// message is met again and changes nothing.
func (r *Controller) clear(ctx context.Context, writes []primrosespar.Write) {
	lease, held := r.parts.Lease.Held()
	if !held || len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	_, err := r.parts.Table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition},
		Writes:     writes,
	})
	r.fail(err)
}
