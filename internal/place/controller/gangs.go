package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/assembler"
)

// plan lets the planner decide and starts what it decided.
func (r *Controller) plan() {
	now := r.parts.Clock.Now()
	plan := r.planner.Plan(now)
	for _, p := range plan.Placements {
		r.place(p, now)
	}
	for _, e := range plan.Preemptions {
		r.evict(e, now)
	}
	for _, w := range plan.Waits {
		if entry := r.gangs[w.Job]; entry != nil {
			d := r.decision(entry.row, primrosespar.DecisionPlacement, w.Reason, "waits")
			d.Figures = w.Figures
			r.record(d)
		}
	}
}

func (r *Controller) place(p primrosespar.Placement, now time.Time) {
	entry := r.gangs[p.Job]
	if entry == nil {
		r.planner.Remove(p.Job, primrosespar.GangCancelled, now)
		return
	}
	entry.row.Slices = p.Slices
	entry.row.Bindings = p.Bindings
	entry.row.Borrowed = p.Borrowed
	r.drive(entry, assembler.New(entry.row, now, assembler.WithWorkerLease(r.options.WorkerLease)))
	d := r.decision(entry.row, primrosespar.DecisionPlacement, p.Reason, "placed")
	d.Figures = p.Figures
	r.record(d)
}

func (r *Controller) evict(e primrosespar.Preemption, now time.Time) {
	entry := r.gangs[e.Victim]
	if entry == nil || entry.assembler == nil {
		return
	}
	entry.assembler.Preempt(now)
	r.active[e.Victim] = true
	d := r.decision(entry.row, primrosespar.DecisionPreemption, e.Reason, "gives way to a claim of another job")
	d.Figures = []primrosespar.Figure{{Name: "lost_work_seconds", Value: e.LostWork.Seconds()}}
	r.record(d)
}

// stepGangs moves every gang on, then sends the commands and writes together.
func (r *Controller) stepGangs(ctx context.Context) {
	now := r.parts.Clock.Now()
	mayCommit := now.After(r.holdCommits)
	var commands []primrosespar.Command
	var commits []*gang
	for id := range r.active {
		entry := r.gangs[id]
		if entry == nil || entry.assembler == nil {
			delete(r.active, id)
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
			r.end(id, entry, now)
		case entry.assembler.Running():
			delete(r.active, id)
		}
	}
	r.send(ctx, commands)
	r.commit(ctx, commits)
}

// end takes a gang whose attempt is over and committed.
func (r *Controller) end(id primrosespar.JobID, entry *gang, now time.Time) {
	entry.row = entry.assembler.Gang()
	r.judge(entry)
	r.release(entry)
	if entry.row.State == primrosespar.GangQueued {
		r.planner.Requeue(id, now)
		return
	}
	r.planner.Remove(id, entry.row.State, now)
	delete(r.gangs, id)
}

// send runs worker commands beside the loop. Commands that find no free flight
// are sent again by their assembler after its resend time.
func (r *Controller) send(ctx context.Context, commands []primrosespar.Command) {
	token, ours := r.parts.Lease.Token()
	if len(commands) == 0 || !ours || r.flights >= r.options.MaxInFlight {
		return
	}
	r.flights++
	epoch := r.epoch
	go func() {
		call, cancel := context.WithTimeout(ctx, r.options.WorkerTimeout)
		defer cancel()
		results, err := r.parts.Workers.Do(call, r.parts.Place, token, commands)
		r.deliver(ctx, func(context.Context) {
			r.flights--
			if err != nil {
				r.fail(err)
				return
			}
			if epoch == r.epoch {
				r.answered(commands, results)
			}
		})
	}()
}

// deliver hands a result to the loop.
func (r *Controller) deliver(ctx context.Context, apply func(context.Context)) {
	select {
	case r.results <- apply:
	case <-ctx.Done():
	}
}

func (r *Controller) answered(commands []primrosespar.Command, results []primrosespar.CommandResult) {
	now := r.parts.Clock.Now()
	for i, result := range results {
		if result.Code == primrosespar.CodeStaleToken {
			r.parts.Lease.StepDown()
			return
		}
		entry := r.gangs[commands[i].Gang]
		if entry != nil && entry.assembler != nil {
			entry.assembler.Answered(commands[i], result, now)
			r.active[commands[i].Gang] = true
		}
	}
}

// commit writes gangs in groups beside the loop, under the condition of the
// lease and of each row.
func (r *Controller) commit(ctx context.Context, entries []*gang) {
	lease, held := r.parts.Lease.Held()
	for len(entries) > 0 {
		group := entries[:min(r.options.BatchSize, len(entries))]
		entries = entries[len(group):]
		if !held || r.flights >= r.options.MaxInFlight {
			r.abandon(group)
			continue
		}
		txn, err := r.transaction(lease.Condition, group)
		if err != nil {
			r.fail(err)
			r.abandon(group)
			continue
		}
		r.flights++
		go r.write(ctx, r.epoch, txn, group)
	}
}

func (r *Controller) abandon(group []*gang) {
	for _, entry := range group {
		entry.writing = false
		entry.assembler.CommitFailed()
	}
}

// drive gives a gang its assembler and indexes its workers.
func (r *Controller) drive(entry *gang, a *assembler.Assembler) {
	entry.assembler = a
	id := entry.row.Job.ID
	r.active[id] = true
	entry.placed = entry.row.Slices
	for _, s := range entry.placed {
		if r.onWorker[s.Worker] == nil {
			r.onWorker[s.Worker] = map[primrosespar.JobID]bool{}
		}
		r.onWorker[s.Worker][id] = true
	}
}

// release undoes drive.
func (r *Controller) release(entry *gang) {
	entry.assembler = nil
	id := entry.row.Job.ID
	delete(r.active, id)
	for _, s := range entry.placed {
		delete(r.onWorker[s.Worker], id)
	}
}

// transaction writes the group's rows under the lease.
func (r *Controller) transaction(lease primrosespar.Condition, group []*gang) (primrosespar.Txn, error) {
	txn := primrosespar.Txn{Conditions: []primrosespar.Condition{lease}}
	for _, entry := range group {
		next := entry.assembler.Gang()
		value, err := json.Marshal(next)
		if err != nil {
			return primrosespar.Txn{}, eris.Wrap(err, "encode gang")
		}
		key := primrosespar.GangKey(r.parts.Place, next.Job.ID)
		entry.writing = true
		entry.written = next.State
		txn.Conditions = append(txn.Conditions, primrosespar.Condition{Key: key, Version: entry.version})
		txn.Writes = append(txn.Writes, primrosespar.Write{Key: key, Value: value})
	}
	return txn, nil
}

// write commits one group and hands the outcome to the loop. After a conflict
// or a lost answer the rows say whether the write took effect.
func (r *Controller) write(ctx context.Context, epoch uint64, txn primrosespar.Txn, group []*gang) {
	call, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	versions, err := r.parts.Table.Commit(call, txn)
	var rows []primrosespar.Row
	if err != nil && primrosespar.CodeOf(err) != primrosespar.CodeStoreUnavailable {
		rows = r.reread(ctx, txn)
	}
	r.deliver(ctx, func(context.Context) {
		r.flights--
		if epoch != r.epoch {
			return
		}
		for _, entry := range group {
			entry.writing = false
		}
		if err == nil {
			r.committed(group, versions)
			return
		}
		r.fail(err)
		r.resolve(txn, group, rows)
	})
}

// reread reads the rows of a transaction whose outcome is in doubt; nil if
// that fails too.
func (r *Controller) reread(ctx context.Context, txn primrosespar.Txn) []primrosespar.Row {
	call, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	keys := make([]string, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		keys = append(keys, w.Key)
	}
	rows, err := r.parts.Table.Get(call, keys...)
	if err != nil {
		return nil
	}
	return rows
}

func (r *Controller) committed(group []*gang, versions []primrosespar.Version) {
	now := r.parts.Clock.Now()
	for i, entry := range group {
		entry.version = versions[i]
		entry.assembler.Committed(entry.written, now)
		entry.row = entry.assembler.Gang()
		r.record(r.decision(entry.row, primrosespar.DecisionGang, entry.row.Reason, string(entry.written)))
	}
}

// resolve settles a write that was refused or whose answer was lost.
func (r *Controller) resolve(txn primrosespar.Txn, group []*gang, rows []primrosespar.Row) {
	r.holdCommits = r.parts.Clock.Now().Add(r.options.CommitPause)
	for i, entry := range group {
		switch {
		case rows == nil:
			entry.assembler.CommitFailed()
		case rows[i].Version > entry.version && string(rows[i].Value) == string(txn.Writes[i].Value):
			r.committed(group[i:i+1], []primrosespar.Version{rows[i].Version})
		case rows[i].Version != entry.version:
			// Another holder wrote the row, so this tenure is over.
			r.parts.Lease.StepDown()
			return
		default:
			entry.assembler.CommitFailed()
		}
	}
}

// decision starts a record about a job.
func (r *Controller) decision(g primrosespar.Gang, kind primrosespar.DecisionKind, code primrosespar.Code, detail string) primrosespar.Decision {
	return primrosespar.Decision{
		Kind: kind, Code: code, Subject: string(g.Job.ID), Account: g.Job.Account, Class: g.Job.Class,
		ContractVersion: g.Job.ContractVersion, Detail: detail,
	}
}
