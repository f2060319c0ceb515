package controller

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// watchInbox reads the inbox until the context ends. The first read is repeated
// soon if it fails, because starts wait for it.
func (c *Controller) watchInbox(ctx context.Context) {
	for !c.readInbox(ctx) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.parts.Clock.After(tickInterval):
		}
	}
	c.runPeriodically(ctx, inboxInterval, func(ctx context.Context) { c.readInbox(ctx) })
}

// mayStart reports whether start orders may leave now. Those of a new holder wait
// for its first read of the inbox, for a while: jobs may have been cancelled
// there.
func (c *Controller) mayStart() bool {
	if !c.inboxRead && c.parts.Clock.Since(c.startedAt) < maxInboxWait {
		return false
	}
	return c.checkStart() == nil
}

// readInbox reads the messages of hosts that could not reach the holder, page by
// page up to maxInboxPages. It reports whether it has read all.
func (c *Controller) readInbox(ctx context.Context) (complete bool) {
	var rows []primrosespar.Row
	after := ""
	for range maxInboxPages {
		page, err := c.readInboxPage(ctx, after)
		if err != nil {
			c.parts.OnError("mail", err)
			break
		}
		c.parts.OnStoreAnswer()
		if complete = len(page) == 0; complete {
			break
		}
		rows = append(rows, page...)
		after = page[len(page)-1].Key
	}
	if len(rows) == 0 && !complete {
		return false
	}
	c.enqueue(func() {
		c.applyInbox(rows, complete)
		c.inboxRead = true
	})
	return complete
}

// readInboxPage reads the messages whose keys are greater than after, at most
// inboxPageLimit.
func (c *Controller) readInboxPage(ctx context.Context, after string) ([]primrosespar.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.parts.Table.Scan(ctx, primrosespar.FleetInboxPrefix(), after, inboxPageLimit)
}

// applyInbox applies messages and deletes their rows in the same commit.
// Submissions come first, so that a cancellation finds its job. If the inbox was
// not read completely, its job may be among the other messages. Messages that
// cannot be decoded are reported once and left, since a later release may have
// written them.
func (c *Controller) applyInbox(rows []primrosespar.Row, complete bool) {
	now := c.parts.Clock.Now()
	submitPrefix, cancelPrefix := primrosespar.FleetInboxSubmitKey(""), primrosespar.FleetInboxCancelKey("")
	for _, row := range rows {
		id, ok := strings.CutPrefix(row.Key, submitPrefix)
		if !ok {
			continue
		}
		job, err := c.parseSubmission(row.Value)
		if err == nil && string(job.ID) != id {
			err = eris.Errorf("the message names job %q", job.ID)
		}
		if err != nil {
			c.reportMessage(row.Key, err)
			continue
		}
		if _, known := c.scheduler.State(job.ID); known && !c.scheduler.MayUse(job.Request()) {
			c.reportMessage(row.Key, eris.New("the ID of the job is in use by another caller"))
		}
		c.scheduler.Submit(job, now)
		// The job is accepted by its row, which this batch deletes. It must not
		// be withdrawn.
		delete(c.next.submitted, job.ID)
		c.next.deletedKeys[row.Key] = true
	}
	for _, row := range rows {
		id, ok := strings.CutPrefix(row.Key, cancelPrefix)
		switch {
		case ok:
			c.applyCancellation(row, primrosespar.JobID(id), complete)
		case !strings.HasPrefix(row.Key, submitPrefix):
			c.reportMessage(row.Key, eris.New("unknown kind of message"))
		}
	}
}

// applyCancellation applies a cancellation if its caller has a right to the job.
// It stays if its job may still be among the messages that were not read.
func (c *Controller) applyCancellation(row primrosespar.Row, id primrosespar.JobID, complete bool) {
	request, err := c.encoder.ParseJobRequest(id, row.Value)
	if err != nil {
		c.reportMessage(row.Key, err)
		return
	}
	_, known := c.scheduler.State(id)
	switch {
	case c.scheduler.MayUse(request):
		c.scheduler.Cancel(id, c.parts.Clock.Now())
	case known:
		c.reportMessage(row.Key, eris.New("the caller has no right to the job"))
	case !complete:
		return
	}
	c.next.deletedKeys[row.Key] = true
}

// reportMessage reports a message that cannot be applied, once in the term.
func (c *Controller) reportMessage(key string, err error) {
	if !c.oddMessages[key] {
		c.oddMessages[key] = true
		c.parts.OnError("mail", eris.Wrap(err, key))
	}
}
