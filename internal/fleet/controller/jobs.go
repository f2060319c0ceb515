package controller

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Submit stores a job; nil says that it is stored, also if it was before.
func (c *Controller) Submit(ctx context.Context, job primrosespar.Submission) error {
	if c.Stalled() {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight")
	}
	return c.applyAndCommit(ctx, func(now time.Time) error {
		c.scheduler.Submit(job, now)
		return nil
	})
}

// Cancel cancels a job; nil says that this is stored.
func (c *Controller) Cancel(ctx context.Context, id primrosespar.JobID) error {
	if c.Stalled() {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight")
	}
	return c.applyAndCommit(ctx, func(now time.Time) error {
		if !c.scheduler.Cancel(id, now) {
			return primrosespar.Fail(primrosespar.CodeNotFound, "job %s", id)
		}
		return nil
	})
}

// State returns the stored state of a job.
func (c *Controller) State(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	var state primrosespar.JobState
	err := c.runInLoop(ctx, func(reply func(error)) {
		var known bool
		if state, known = c.committedStates[id]; !known {
			reply(primrosespar.Fail(primrosespar.CodeNotFound, "job %s", id))
			return
		}
		reply(nil)
	})
	return state, err
}

// Waiting returns the jobs without a start, by queue; false before the jobs
// and the mail of earlier holders were read.
func (c *Controller) Waiting() (map[primrosespar.Queue]int, bool) {
	if w := c.waiting.Load(); w != nil {
		return *w, true
	}
	return nil, false
}

// View returns what the term schedules, for operators.
func (c *Controller) View(ctx context.Context) (primrosespar.FleetState, error) {
	var view primrosespar.FleetState
	err := c.runInLoop(ctx, func(reply func(error)) {
		view = c.scheduler.View(c.parts.Clock.Now())
		reply(nil)
	})
	return view, err
}

// Explain returns where a job stands and what it waits for.
func (c *Controller) Explain(ctx context.Context, id primrosespar.JobID) (primrosespar.JobView, error) {
	var view primrosespar.JobView
	err := c.runInLoop(ctx, func(reply func(error)) {
		var known bool
		if view, known = c.scheduler.Explain(id, c.parts.Clock.Now()); !known {
			reply(primrosespar.Fail(primrosespar.CodeNotFound, "job %s", id))
			return
		}
		reply(nil)
	})
	return view, err
}

// Stalled reports whether the store has left a commit without an answer for
// long; new work would only wait behind it.
func (c *Controller) Stalled() bool {
	startedAt := c.commitStartedAt.Load()
	return startedAt > 0 && c.parts.Clock.Since(c.startedAt)-time.Duration(startedAt) > stallThreshold
}

// applyAndCommit applies a change in the loop and waits until it is stored.
func (c *Controller) applyAndCommit(ctx context.Context, apply func(now time.Time) error) error {
	return c.runInLoop(ctx, func(reply func(error)) {
		if err := apply(c.parts.Clock.Now()); err != nil {
			reply(err)
			return
		}
		c.next.replies = append(c.next.replies, reply)
	})
}

// runInLoop runs the function in the loop and waits for its reply. If the wait
// ends first, nothing is known of what the function did.
func (c *Controller) runInLoop(ctx context.Context, f func(reply func(error))) error {
	result := make(chan error, 1)
	reply := func(err error) { result <- err }
	if !c.enqueue(func() { f(reply) }) {
		return primrosespar.Fail(primrosespar.CodeNotHolder, "the term has ended")
	}
	select {
	case err := <-result:
		return err
	case <-c.done:
		select {
		case err := <-result:
			return err
		default:
			return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the term has ended")
		}
	case <-ctx.Done():
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer in time").WithCause(ctx.Err())
	}
}

// load reads the jobs of earlier holders.
func (c *Controller) load(ctx context.Context) error {
	submissions, err := c.scan(ctx, primrosespar.SubmissionPrefix())
	if err != nil {
		return err
	}
	progress, err := c.scan(ctx, primrosespar.ProgressPrefix())
	if err != nil {
		return err
	}
	if err := c.loadWaves(ctx); err != nil {
		return err
	}
	now := c.parts.Clock.Now()
	jobs := map[primrosespar.JobID]primrosespar.Submission{}
	for _, row := range submissions {
		job, err := c.encoder.ParseSubmission(row.Value)
		if err != nil {
			c.parts.OnError("load", eris.Wrap(err, row.Key))
			continue
		}
		jobs[primrosespar.JobID(strings.TrimPrefix(row.Key, primrosespar.SubmissionPrefix()))] = job
	}
	for _, row := range progress {
		p, err := c.encoder.ParseProgress(row.Value)
		if err != nil {
			c.parts.OnError("load", eris.Wrap(err, row.Key))
			continue
		}
		id := primrosespar.JobID(strings.TrimPrefix(row.Key, primrosespar.ProgressPrefix()))
		job, ok := jobs[id]
		if !ok && !p.State.Ended() {
			c.parts.OnError("load", eris.Errorf("progress of %s without its submission", id))
			continue
		}
		job.ID = id
		c.scheduler.Restore(job, p, now)
		c.committedStates[id] = p.State
	}
	return nil
}

// scan reads all rows of a prefix, and repeats a read that fails.
func (c *Controller) scan(ctx context.Context, prefix string) ([]primrosespar.Row, error) {
	var rows []primrosespar.Row
	after := ""
	for {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := c.parts.Table.Scan(readCtx, prefix, after, scanPageLimit)
		cancel()
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "load")
		}
		if err != nil {
			c.parts.OnError("load", err)
			select {
			case <-ctx.Done():
			case <-c.parts.Clock.After(tickInterval):
			}
			continue
		}
		c.parts.OnStoreAnswer()
		rows = append(rows, page...)
		if len(page) == 0 {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// readInbox takes the messages of hosts that could not reach the holder.
func (c *Controller) readInbox(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := c.parts.Table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", inboxPageLimit)
	if err != nil {
		c.parts.OnError("mail", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.enqueue(func() {
		c.applyInbox(rows)
		c.inboxRead = true
	})
}

// applyInbox applies messages and deletes their rows with the same commit.
// Submissions come first, so that a cancellation finds its job.
func (c *Controller) applyInbox(rows []primrosespar.Row) {
	now := c.parts.Clock.Now()
	submitPrefix, cancelPrefix := primrosespar.FleetInboxSubmitKey(""), primrosespar.FleetInboxCancelKey("")
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, submitPrefix) {
			continue
		}
		job, err := c.encoder.ParseSubmission(row.Value)
		if err != nil {
			c.parts.OnError("mail", eris.Wrap(err, row.Key))
			continue
		}
		c.scheduler.Submit(job, now)
		c.next.deletedKeys[row.Key] = true
	}
	for _, row := range rows {
		if id, ok := strings.CutPrefix(row.Key, cancelPrefix); ok {
			c.scheduler.Cancel(primrosespar.JobID(id), now)
			c.next.deletedKeys[row.Key] = true
		}
	}
}
