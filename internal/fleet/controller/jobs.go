package controller

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Submit stores a job. It returns nil once the job is stored, also if it was
// stored before.
func (c *Controller) Submit(ctx context.Context, job primrosespar.Submission) error {
	if err := job.Validate(); err != nil {
		return err
	}
	return c.runInLoop(ctx, func(reply func(error)) {
		_, known := c.scheduler.State(job.ID)
		_, stored := c.committedStates[job.ID]
		switch {
		case known && !c.scheduler.MayUse(job.Request()):
			reply(primrosespar.Fail(primrosespar.CodeForbidden, "the ID of job %q is in use by another caller", job.ID))
			return
		case stored && c.Stalled():
			reply(nil)
			return
		case !known && c.Stalled():
			reply(primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight"))
			return
		}
		if err := c.scheduler.CheckAdmission(job); err != nil {
			reply(err)
			return
		}
		if !c.scheduler.HasRoom(job) {
			reply(c.noRoom(job))
			return
		}
		if c.scheduler.Submit(job, c.parts.Clock.Now()) {
			c.next.submitted[job.ID] = true
		}
		c.next.replies[job.ID] = append(c.next.replies[job.ID], reply)
	})
}

// noRoom returns the refusal of a job for which there is no memory.
func (c *Controller) noRoom(job primrosespar.Submission) error {
	if need := job.Memory(); need > c.opts.JobMemory {
		return primrosespar.Fail(primrosespar.CodeJobTooLarge, "the job needs %d bytes, a host has %d for jobs", need, c.opts.JobMemory)
	}
	return primrosespar.Fail(primrosespar.CodeQueueFull, "the jobs that have not ended use the %d bytes that a host has for jobs", c.opts.JobMemory)
}

// Cancel cancels a job that the caller has a right to. It returns nil once the
// cancellation is stored.
func (c *Controller) Cancel(ctx context.Context, request primrosespar.JobRequest) error {
	if c.Stalled() {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight")
	}
	return c.runInLoop(ctx, func(reply func(error)) {
		if !c.scheduler.MayUse(request) || !c.scheduler.Cancel(request.Job, c.parts.Clock.Now()) {
			reply(notFound(request.Job))
			return
		}
		c.next.replies[request.Job] = append(c.next.replies[request.Job], reply)
	})
}

// notFound returns the failure of a request for a job that does not exist or
// that the caller has no right to.
func notFound(id primrosespar.JobID) error {
	return primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", id)
}

// State returns the stored state of a job that the caller has a right to, or
// CodeNotFound.
func (c *Controller) State(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	var state primrosespar.JobState
	err := c.runInLoop(ctx, func(reply func(error)) {
		var known bool
		if state, known = c.committedStates[request.Job]; !known || !c.scheduler.MayUse(request) {
			reply(notFound(request.Job))
			return
		}
		reply(nil)
	})
	if err != nil {
		return "", err
	}
	return state, nil
}

// Waiting returns the number of jobs that have not started, by queue. It
// reports false until the jobs of earlier holders and the inbox were read.
func (c *Controller) Waiting() (map[primrosespar.Queue]int, bool) {
	if w := c.waiting.Load(); w != nil {
		return *w, true
	}
	return nil, false
}

// View returns the state of the fleet, for operators.
func (c *Controller) View(ctx context.Context) (primrosespar.FleetState, error) {
	var view primrosespar.FleetState
	err := c.runInLoop(ctx, func(reply func(error)) {
		view = c.scheduler.View(c.parts.Clock.Now())
		view.Evacuations = c.viewEvacuations()
		reply(nil)
	})
	return view, err
}

// Explain returns the progress of a job and what it waits for.
func (c *Controller) Explain(ctx context.Context, id primrosespar.JobID) (primrosespar.JobView, error) {
	var view primrosespar.JobView
	err := c.runInLoop(ctx, func(reply func(error)) {
		var known bool
		if view, known = c.scheduler.Explain(id, c.parts.Clock.Now()); !known {
			reply(notFound(id))
			return
		}
		reply(nil)
	})
	return view, err
}

// Stalled reports whether the commit in flight takes too long or its attempts
// have failed for failureThreshold. New work is refused then, since it would
// only wait behind it.
func (c *Controller) Stalled() bool {
	return c.commitAge() > c.patience(stallThreshold) || c.parts.Committer.FailingTime() > failureThreshold
}

// patience returns how long the commit in flight may take: the threshold, or
// longer if the last commit took long. A store that is only slow goes on storing
// what callers wait for.
func (c *Controller) patience(threshold time.Duration) time.Duration {
	return max(threshold, min(patienceFactor*c.parts.Committer.LastCommitTime(), maxPatience))
}

// commitAge returns how long the commit in flight has lasted, 0 if there is
// none.
func (c *Controller) commitAge() time.Duration {
	startedAt := c.commitStartedAt.Load()
	if startedAt == 0 {
		return 0
	}
	return c.parts.Clock.Since(c.startedAt) - time.Duration(startedAt)
}

// runInLoop runs f on the loop and waits for its reply. If the context or the
// term ends first, the outcome is unknown.
func (c *Controller) runInLoop(ctx context.Context, f func(reply func(error))) error {
	if ctx.Err() != nil {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the caller has gone")
	}
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
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the controller did not answer in time").WithCause(ctx.Err())
	}
}

// load restores the jobs and maintenance waves of earlier holders. Rows that
// cannot be decoded or describe no possible job cost that job or wave only.
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
		job, err := c.parseSubmission(row.Value)
		if err != nil {
			c.parts.OnError("load", eris.Wrap(err, row.Key))
			continue
		}
		jobs[primrosespar.JobID(strings.TrimPrefix(row.Key, primrosespar.SubmissionPrefix()))] = job
	}
	pieces := map[primrosespar.JobID][]primrosespar.Row{}
	for _, row := range progress {
		if id, _, isPiece := splitProgressKey(row.Key); isPiece {
			pieces[id] = append(pieces[id], row)
		}
	}
	for _, row := range progress {
		id, _, isPiece := splitProgressKey(row.Key)
		if isPiece {
			continue
		}
		job, known := jobs[id]
		job.ID = id
		c.restore(job, known, row, pieces[id], now)
		delete(pieces, id)
	}
	for _, rows := range pieces {
		c.deletePieces(rows)
	}
	return nil
}

// splitProgressKey returns the job that a row of progress belongs to, and its
// piece if it is one.
func splitProgressKey(key string) (id primrosespar.JobID, piece string, isPiece bool) {
	text, piece, isPiece := strings.Cut(strings.TrimPrefix(key, primrosespar.ProgressPrefix()), "/")
	return primrosespar.JobID(text), piece, isPiece
}

// deletePieces deletes pieces that belong to no occurrence. Their job was split
// or has dropped an occurrence, and the commit of that was cut short.
func (c *Controller) deletePieces(rows []primrosespar.Row) {
	for _, row := range rows {
		c.next.deletedKeys[row.Key] = true
	}
}

// restore restores a job of an earlier holder from the rows of its progress. A
// row that cannot be decoded costs that job only.
func (c *Controller) restore(job primrosespar.Submission, known bool, row primrosespar.Row, pieces []primrosespar.Row, now time.Time) {
	p, err := c.encoder.ParseProgress(row.Value)
	if err == nil {
		err = c.parsePieces(&p, pieces)
	}
	switch {
	case err != nil && p.State == "" && len(job.Steps) > 0:
		// The steps are dropped when the job ends.
		p.State = primrosespar.JobActive
	case err != nil && p.State == "":
		p.State = primrosespar.JobFailed
	case !known && !p.State.Ended():
		err = eris.Errorf("job %q has progress but no submission", job.ID)
	}
	if err == nil {
		recovered := panics.Try(func() { c.scheduler.Restore(job, p, now) })
		err = recovered.AsError()
	}
	if err != nil {
		c.parts.OnError("load", eris.Wrap(err, row.Key))
		c.scheduler.Withdraw(job.ID)
		c.scheduler.RestoreUnreadable(job, p.State, err.Error(), now)
	}
	c.committedStates[job.ID] = p.State
}

// parsePieces decodes the pieces of the occurrences of a split job and deletes
// the others.
func (c *Controller) parsePieces(p *encoder.Progress, rows []primrosespar.Row) error {
	occurrences := map[int]bool{}
	for _, o := range p.Occurrences {
		occurrences[o.Index] = p.Split
	}
	p.Pieces = make(map[encoder.PieceKey][]encoder.Unit, len(rows))
	for _, row := range rows {
		_, text, _ := splitProgressKey(row.Key)
		key, err := encoder.ParsePieceKey(text)
		if err != nil {
			return err
		}
		if !occurrences[key.Occurrence] {
			c.deletePieces([]primrosespar.Row{row})
			continue
		}
		if p.Pieces[key], err = c.encoder.ParsePiece(row.Value); err != nil {
			return err
		}
	}
	return nil
}

// parseSubmission decodes the row of a job and checks that there can be such a
// job.
func (c *Controller) parseSubmission(data []byte) (primrosespar.Submission, error) {
	job, err := c.encoder.ParseSubmission(data)
	if err != nil {
		return job, err
	}
	return job, job.Validate()
}

// scan reads all rows with the prefix and retries failed reads until the
// context ends.
func (c *Controller) scan(ctx context.Context, prefix string) ([]primrosespar.Row, error) {
	var rows []primrosespar.Row
	after := ""
	for {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := c.parts.Table.Scan(readCtx, prefix, after, scanPageLimit)
		cancel()
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "load stored rows")
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
