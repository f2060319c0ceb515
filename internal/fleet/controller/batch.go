package controller

import (
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// batch is what one commit stores and what follows from it.
type batch struct {
	records map[primrosespar.JobID]scheduler.Record
	order   []primrosespar.JobID
	deletes map[string]bool
	starts  []scheduler.Order
	noted   map[primrosespar.Worker]uint64
	replies []func(error)
	// upkeeps are the waves to store, by number, and upkeepOrders what follows.
	upkeeps      map[int]maintainer.Record
	upkeepOrders []maintainer.Order
}

// newBatch returns an empty batch.
func newBatch() *batch {
	return &batch{
		records: map[primrosespar.JobID]scheduler.Record{},
		deletes: map[string]bool{},
		noted:   map[primrosespar.Worker]uint64{},
		upkeeps: map[int]maintainer.Record{},
	}
}

// add merges changes; a later record of a job replaces the earlier one.
func (b *batch) add(changes scheduler.Changes) {
	for _, r := range changes.Records {
		earlier, known := b.records[r.Job]
		if !known {
			b.order = append(b.order, r.Job)
		}
		if r.Submission == nil {
			r.Submission = earlier.Submission
		}
		b.records[r.Job] = r
	}
	b.starts = append(b.starts, changes.Starts...)
	for w, sequence := range changes.Acknowledged {
		b.noted[w] = sequence
	}
}

// forget deletes the rows of a job.
func (b *batch) forget(id primrosespar.JobID) {
	b.deletes[primrosespar.ProgressKey(id)] = true
	b.deletes[primrosespar.SubmissionKey(id)] = true
}

// stored reports whether the batch has anything to store.
func (b *batch) stored() bool {
	return len(b.records) > 0 || len(b.upkeeps) > 0 || len(b.deletes) > 0 || len(b.replies) > 0
}

// writes returns the rows of the batch.
func (c *Controller) writes(b *batch) ([]primrosespar.Write, error) {
	var out []primrosespar.Write
	for _, id := range b.order {
		r := b.records[id]
		progress, err := c.encoder.Progress(r.Progress)
		if err != nil {
			return nil, err
		}
		over := r.Progress.State.Ended() && len(r.Progress.Occurrences) == 0
		if !over && r.Submission != nil {
			// The submission comes first: a large batch is split, and progress
			// without its submission could not be taken over.
			submission, err := c.encoder.Submission(*r.Submission)
			if err != nil {
				return nil, err
			}
			out = append(out, primrosespar.Write{Key: primrosespar.SubmissionKey(id), Value: submission})
		}
		out = append(out, primrosespar.Write{Key: primrosespar.ProgressKey(id), Value: progress})
		if over && r.Submission == nil {
			// Nobody needs the submission of a job that has ended.
			out = append(out, primrosespar.Write{Key: primrosespar.SubmissionKey(id), Delete: true})
		}
	}
	for _, number := range slices.Sorted(maps.Keys(b.upkeeps)) {
		w, err := c.upkeepWrite(b.upkeeps[number])
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	for _, key := range slices.Sorted(maps.Keys(b.deletes)) {
		out = append(out, primrosespar.Write{Key: key, Delete: true})
	}
	return out, nil
}

// flush starts the next commit unless one is in flight.
func (c *Controller) flush(now time.Time) {
	if c.flying != nil {
		return
	}
	if !c.next.stored() && now.Sub(c.sentAt) < signInterval {
		c.follow(c.next)
		c.next.starts, c.next.upkeepOrders, c.next.noted = nil, nil, map[primrosespar.Worker]uint64{}
		return
	}
	b := c.next
	c.next, c.flying, c.sentAt = newBatch(), b, now
	writes, err := c.writes(b)
	if err != nil {
		c.lost = err
		return
	}
	c.stuckSince.Store(int64(now.Sub(c.began)) + 1)
	c.tasks.Go(func() {
		err := c.parts.Committer.Commit(c.ctx, writes)
		c.post(func() { c.committed(b, err) })
	})
}

// committed takes the outcome of the commit in flight.
func (c *Controller) committed(b *batch, err error) {
	c.stuckSince.Store(0)
	if err != nil {
		c.lost = err
		return
	}
	c.flying = nil
	c.parts.OnStoreAnswer()
	for id, r := range b.records {
		c.shown[id] = r.Progress.State
	}
	for _, reply := range b.replies {
		reply(nil)
	}
	c.follow(b)
}

// follow does what had to wait until the batch was stored.
func (c *Controller) follow(b *batch) {
	now := c.parts.Clock.Now()
	for _, start := range b.starts {
		a := c.attendants[start.Worker]
		if a != nil && c.core.ShouldSend(start, now) {
			a.Start(c.ctx, primrosespar.Start{
				Run: start.Run, Spec: start.Spec, Checkpoint: start.Checkpoint, Ticket: start.Ticket,
			})
		}
	}
	for _, o := range b.upkeepOrders {
		c.tasks.Go(func() { c.order(o) })
	}
	for w, sequence := range b.noted {
		if a := c.attendants[w]; a != nil {
			a.Acknowledge(sequence)
		}
	}
}

// settleAll answers the callers that still wait when the term ends. Nothing is
// known of the commit in flight; what was to follow was never sent.
func (c *Controller) settleAll(err error) {
	if c.flying != nil {
		for _, reply := range c.flying.replies {
			reply(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the term ended during the commit").WithCause(err))
		}
	}
	for _, reply := range c.next.replies {
		reply(primrosespar.Fail(primrosespar.CodeNotHolder, "the term ended").WithCause(err))
	}
}
