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
	return c.change(ctx, func(now time.Time) error {
		c.core.Submit(job, now)
		return nil
	})
}

// Cancel cancels a job; nil says that this is stored.
func (c *Controller) Cancel(ctx context.Context, id primrosespar.JobID) error {
	if c.Stalled() {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight")
	}
	return c.change(ctx, func(now time.Time) error {
		if !c.core.Cancel(id, now) {
			return primrosespar.Fail(primrosespar.CodeNotFound, "job %s", id)
		}
		return nil
	})
}

// State returns the stored state of a job.
func (c *Controller) State(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	var state primrosespar.JobState
	err := c.inLoop(ctx, func(reply func(error)) {
		var known bool
		if state, known = c.shown[id]; !known {
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
	err := c.inLoop(ctx, func(reply func(error)) {
		view = c.core.View(c.parts.Clock.Now())
		reply(nil)
	})
	return view, err
}

// Explain returns where a job stands and what it waits for.
func (c *Controller) Explain(ctx context.Context, id primrosespar.JobID) (primrosespar.JobView, error) {
	var view primrosespar.JobView
	err := c.inLoop(ctx, func(reply func(error)) {
		var known bool
		if view, known = c.core.Explain(id, c.parts.Clock.Now()); !known {
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
	since := c.stuckSince.Load()
	return since > 0 && c.parts.Clock.Since(c.began)-time.Duration(since) > stuckTime
}

// change applies a change in the loop and waits until it is stored.
func (c *Controller) change(ctx context.Context, apply func(now time.Time) error) error {
	return c.inLoop(ctx, func(reply func(error)) {
		if err := apply(c.parts.Clock.Now()); err != nil {
			reply(err)
			return
		}
		c.next.replies = append(c.next.replies, reply)
	})
}

// inLoop runs the function in the loop and waits for its reply. If the wait
// ends first, nothing is known of what the function did.
func (c *Controller) inLoop(ctx context.Context, f func(reply func(error))) error {
	result := make(chan error, 1)
	reply := func(err error) { result <- err }
	if !c.post(func() { f(reply) }) {
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
	if err := c.loadUpkeep(ctx); err != nil {
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
		c.core.Restore(job, p, now)
		c.shown[id] = p.State
	}
	return nil
}

// scan reads all rows of a prefix, and repeats a read that fails.
func (c *Controller) scan(ctx context.Context, prefix string) ([]primrosespar.Row, error) {
	var out []primrosespar.Row
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		rows, err := c.parts.Table.Scan(call, prefix, after, pageLimit)
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
		out = append(out, rows...)
		if len(rows) == 0 {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// readMail takes the messages of hosts that could not reach the holder.
func (c *Controller) readMail(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := c.parts.Table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", mailLimit)
	if err != nil {
		c.parts.OnError("mail", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.post(func() {
		c.takeMail(rows)
		c.mailRead = true
	})
}

// takeMail applies messages and deletes their rows with the same commit.
// Submissions come first, so that a cancellation finds its job.
func (c *Controller) takeMail(rows []primrosespar.Row) {
	now := c.parts.Clock.Now()
	submits, cancels := primrosespar.FleetInboxSubmitKey(""), primrosespar.FleetInboxCancelKey("")
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, submits) {
			continue
		}
		job, err := c.encoder.ParseSubmission(row.Value)
		if err != nil {
			c.parts.OnError("mail", eris.Wrap(err, row.Key))
			continue
		}
		c.core.Submit(job, now)
		c.next.deletes[row.Key] = true
	}
	for _, row := range rows {
		if id, ok := strings.CutPrefix(row.Key, cancels); ok {
			c.core.Cancel(primrosespar.JobID(id), now)
			c.next.deletes[row.Key] = true
		}
	}
}
