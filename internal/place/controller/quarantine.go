package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

// quarantine is the judgement of the workers of one tenure and its row.
type quarantine struct {
	judge *quarantiner.Quarantiner
	// version is the version of the row in the table.
	version primrosespar.Version
	// dirty is true while the row lacks a change; writing while a write is
	// under way.
	dirty, writing bool
}

// judge reports the tasks of an attempt that is over: the failed or lost ones,
// or the success of all members.
func (r *Controller) judge(entry *gang) {
	id := entry.row.Job.ID
	for _, w := range entry.assembler.FailedWorkers() {
		r.quarantine.judge.Report(quarantiner.Outcome{Worker: w, Job: id, Failed: true})
	}
	if entry.row.State != primrosespar.GangDone {
		return
	}
	for _, s := range entry.placed {
		r.quarantine.judge.Report(quarantiner.Outcome{Worker: s.Worker, Job: id})
	}
}

// advanceQuarantine applies what the quarantiner decides from the outcomes.
func (r *Controller) advanceQuarantine() {
	if !r.options.Quarantine {
		return
	}
	now := r.parts.Clock.Now()
	q := r.quarantine.judge
	q.SetWorkers(len(r.workers))
	for _, c := range q.Advance(now) {
		r.planner.SetQuarantined(c.Worker, c.Quarantined)
		r.quarantine.dirty = true
		r.recordQuarantine(c, now)
	}
}

func (r *Controller) recordQuarantine(c quarantiner.Change, now time.Time) {
	q := r.quarantine.judge
	d := primrosespar.Decision{
		Kind: primrosespar.DecisionQuarantine, Code: primrosespar.CodeOK, Subject: string(c.Worker),
		Detail: "the worker returns to service",
	}
	entries := q.Entries(now)
	d.Figures = []primrosespar.Figure{
		{Name: "failed_jobs", Value: float64(q.FailedJobs(c.Worker))},
		{Name: "quarantined", Value: float64(len(entries))},
		{Name: "workers", Value: float64(len(r.workers))},
	}
	for _, e := range entries {
		if e.Worker == c.Worker {
			d.Code, d.Detail = primrosespar.CodeWorkerQuarantined, "the worker gets no new work"
			d.Figures = append(
				d.Figures,
				primrosespar.Figure{Name: "seconds", Value: e.Remaining.Seconds()},
				primrosespar.Figure{Name: "times", Value: float64(e.Times)},
			)
		}
	}
	r.record(d)
}

// loadQuarantine takes over the quarantines of an earlier holder.
func (r *Controller) loadQuarantine(ctx context.Context) error {
	if !r.options.Quarantine {
		return nil
	}
	row, err := r.readQuarantine(ctx)
	if err != nil {
		return eris.Wrap(err, "read quarantines")
	}
	r.quarantine.version = row.Version
	if row.Version == 0 {
		return nil
	}
	var entries []quarantiner.Entry
	if err := json.Unmarshal(row.Value, &entries); err != nil {
		return eris.Wrapf(err, "decode %s", row.Key)
	}
	r.quarantine.judge.Restore(entries, r.parts.Clock.Now())
	for _, e := range entries {
		r.planner.SetQuarantined(e.Worker, true)
	}
	return nil
}

func (r *Controller) readQuarantine(ctx context.Context) (primrosespar.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	rows, err := r.parts.Table.Get(ctx, primrosespar.QuarantineKey(r.parts.Place))
	if err != nil {
		return primrosespar.Row{}, err
	}
	return rows[0], nil
}

// saveQuarantine writes the quarantines beside the loop, under the conditions
// of the lease and of the row.
func (r *Controller) saveQuarantine(ctx context.Context) {
	q := &r.quarantine
	now := r.parts.Clock.Now()
	lease, held := r.parts.Lease.Held()
	if !held || !q.dirty || q.writing || r.flights >= r.options.MaxInFlight || !now.After(r.holdCommits) {
		return
	}
	value, err := json.Marshal(q.judge.Entries(now))
	if err != nil {
		r.fail(eris.Wrap(err, "encode quarantines"))
		return
	}
	key := primrosespar.QuarantineKey(r.parts.Place)
	txn := primrosespar.Txn{
		Conditions: []primrosespar.Condition{lease.Condition, {Key: key, Version: q.version}},
		Writes:     []primrosespar.Write{{Key: key, Value: value}},
	}
	q.dirty, q.writing = false, true
	r.flights++
	go r.writeQuarantine(ctx, r.epoch, txn)
}

// writeQuarantine commits the row and hands the outcome to the loop. After a
// failure the row's version is read again, since the write may have taken
// effect, and the row is written once more.
func (r *Controller) writeQuarantine(ctx context.Context, epoch uint64, txn primrosespar.Txn) {
	call, cancel := context.WithTimeout(ctx, r.options.TableTimeout)
	defer cancel()
	versions, err := r.parts.Table.Commit(call, txn)
	version := txn.Conditions[1].Version
	if err == nil {
		version = versions[0]
	} else if row, readErr := r.readQuarantine(ctx); readErr == nil {
		version = row.Version
	}
	r.deliver(ctx, func(context.Context) {
		r.flights--
		if epoch != r.epoch {
			return
		}
		r.quarantine.writing, r.quarantine.version = false, version
		if err != nil {
			r.quarantine.dirty = true
			r.holdCommits = r.parts.Clock.Now().Add(r.options.CommitPause)
			r.fail(err)
		}
	})
}
