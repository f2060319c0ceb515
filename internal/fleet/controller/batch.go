package controller

import (
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// batch collects the rows of one commit and the orders, acknowledgements and
// replies that wait for it.
type batch struct {
	records map[primrosespar.JobID]scheduler.Record
	// order lists the jobs of records in the order in which they were added.
	order  []primrosespar.JobID
	starts []scheduler.Order
	// replies are the replies to the callers that wait for a change of a job.
	replies map[primrosespar.JobID][]func(error)
	// submitted are the jobs that are new and of which nothing was sent to the
	// store.
	submitted map[primrosespar.JobID]bool
	followers
	// closed are followers of the records of its generation and before; nil if
	// there are none. generation is that of the records that are added now, ages
	// and pieceAges are those of the ones that wait.
	closed     *followers
	generation uint64
	ages       map[primrosespar.JobID]uint64
	pieceAges  map[primrosespar.JobID]map[encoder.PieceKey]uint64
	// headAfter are the pieces that must be stored before the rest of a record
	// with HeadLast.
	headAfter map[primrosespar.JobID]map[encoder.PieceKey]bool
	// fromInbox are the jobs whose messages in the inbox are deleted with their
	// records, refused those that the store refuses for good, with the reason.
	fromInbox map[primrosespar.JobID]bool
	refused   map[primrosespar.JobID]error
}

// followers are what has to wait for the records of all jobs that were added
// before.
type followers struct {
	acknowledged map[primrosespar.Worker]scheduler.Acknowledgement
	deletedKeys  map[string]bool
	// waves are the maintenance waves to store, by number; maintenanceOrders
	// are sent once they are stored.
	waves             map[int]maintainer.Record
	maintenanceOrders []maintainer.Order
	generation        uint64
}

// newFollowers returns no followers.
func newFollowers() followers {
	return followers{
		acknowledged: map[primrosespar.Worker]scheduler.Acknowledgement{},
		deletedKeys:  map[string]bool{},
		waves:        map[int]maintainer.Record{},
	}
}

// empty reports whether there is nothing to store, send or delete.
func (f *followers) empty() bool {
	return len(f.acknowledged) == 0 && len(f.deletedKeys) == 0 && len(f.waves) == 0 && len(f.maintenanceOrders) == 0
}

// add adds later followers, of which at most limit deletions, and returns the
// other deletions.
func (f *followers) add(later followers, limit int) map[string]bool {
	maps.Copy(f.acknowledged, later.acknowledged)
	maps.Copy(f.waves, later.waves)
	f.maintenanceOrders = append(f.maintenanceOrders, later.maintenanceOrders...)
	rest := map[string]bool{}
	for key := range later.deletedKeys {
		if len(f.deletedKeys) < limit {
			f.deletedKeys[key] = true
		} else {
			rest[key] = true
		}
	}
	return rest
}

// newBatch returns an empty batch.
func newBatch() *batch {
	return &batch{
		records:   map[primrosespar.JobID]scheduler.Record{},
		followers: newFollowers(),
		replies:   map[primrosespar.JobID][]func(error){},
		submitted: map[primrosespar.JobID]bool{},
		ages:      map[primrosespar.JobID]uint64{},
		pieceAges: map[primrosespar.JobID]map[encoder.PieceKey]uint64{},
		headAfter: map[primrosespar.JobID]map[encoder.PieceKey]bool{},
		fromInbox: map[primrosespar.JobID]bool{},
		refused:   map[primrosespar.JobID]error{},
	}
}

// add merges the changes into the batch. A later record of a job replaces the
// earlier one but keeps its submission and the pieces that have not changed
// again.
func (b *batch) add(changes scheduler.Changes) {
	for _, r := range changes.Records {
		previous, known := b.records[r.Job]
		if !known {
			b.order = append(b.order, r.Job)
			b.ages[r.Job] = b.generation
		}
		if r.Submission == nil {
			r.Submission = previous.Submission
		} else {
			// The rows of an earlier job with this ID are replaced.
			b.keep(primrosespar.ProgressKey(r.Job))
			b.keep(primrosespar.SubmissionKey(r.Job))
		}
		if r.Progress.Split {
			r.PiecesOnly = r.PiecesOnly && (!known || previous.PiecesOnly)
			r.HeadFirst = r.HeadFirst || previous.HeadFirst
			if r.HeadLast {
				b.headAfter[r.Job] = map[encoder.PieceKey]bool{}
				for key := range r.Progress.Pieces {
					b.headAfter[r.Job][key] = true
				}
			}
			r.HeadLast = r.HeadLast || previous.HeadLast
			b.mergePieces(&r, previous.Progress.Pieces)
		}
		b.records[r.Job] = r
	}
	b.starts = append(b.starts, changes.Starts...)
	maps.Copy(b.acknowledged, changes.Acknowledged)
}

// keep withdraws the deletion of a row.
func (b *batch) keep(key string) {
	delete(b.deletedKeys, key)
	if b.closed != nil {
		delete(b.closed.deletedKeys, key)
	}
}

// deletes reports whether the row is to be deleted.
func (b *batch) deletes(key string) bool {
	return b.deletedKeys[key] || b.closed != nil && b.closed.deletedKeys[key]
}

// mergePieces adds the pieces of the previous record of the job that are not
// dropped or changed again.
func (b *batch) mergePieces(r *scheduler.Record, previous map[encoder.PieceKey][]encoder.Unit) {
	ages := b.pieceAges[r.Job]
	if ages == nil {
		ages = map[encoder.PieceKey]uint64{}
		b.pieceAges[r.Job] = ages
	}
	for key := range r.Progress.Pieces {
		if _, waits := previous[key]; !waits {
			ages[key] = b.generation
		}
		b.keep(primrosespar.ProgressPieceKey(r.Job, key.String()))
	}
	if len(previous) > 0 {
		maps.Copy(previous, r.Progress.Pieces)
		r.Progress.Pieces = previous
	}
	for _, key := range r.Dropped {
		delete(r.Progress.Pieces, key)
		delete(ages, key)
		b.deletedKeys[primrosespar.ProgressPieceKey(r.Job, key.String())] = true
	}
	r.Dropped = nil
}

// withdraw removes a job that was submitted since the last commit began, and
// returns the replies to its callers.
func (b *batch) withdraw(id primrosespar.JobID) []func(error) {
	replies := b.replies[id]
	delete(b.replies, id)
	delete(b.submitted, id)
	delete(b.records, id)
	delete(b.ages, id)
	delete(b.pieceAges, id)
	delete(b.headAfter, id)
	b.order = slices.DeleteFunc(b.order, func(other primrosespar.JobID) bool { return other == id })
	return replies
}

// deleteJob deletes the rows of a job.
func (b *batch) deleteJob(id primrosespar.JobID) {
	b.deletedKeys[primrosespar.ProgressKey(id)] = true
	b.deletedKeys[primrosespar.SubmissionKey(id)] = true
}

// needsCommit reports whether the batch has rows to store or callers that wait
// for a commit.
func (b *batch) needsCommit() bool {
	return len(b.records) > 0 || len(b.waves) > 0 || len(b.deletedKeys) > 0 || len(b.replies) > 0 || b.closed != nil
}

// allReplies returns the replies to all callers that wait for the batch.
func (b *batch) allReplies() []func(error) {
	var all []func(error)
	for _, replies := range b.replies {
		all = append(all, replies...)
	}
	return all
}

// withdrawSubmissions refuses the jobs that wait for the store while it does not
// answer the commit in flight. Nothing of them was sent to the store or to a
// worker, so they have not run and never will; their callers may try again,
// which they could not after an unknown outcome.
func (c *Controller) withdrawSubmissions() {
	if c.commitAge() < c.patience(withdrawThreshold) && c.parts.Committer.FailingTime() < failureThreshold {
		return
	}
	for id := range c.next.submitted {
		if !c.scheduler.Withdraw(id) {
			continue
		}
		for _, reply := range c.next.withdraw(id) {
			reply(primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store has not answered the commit in flight"))
		}
	}
}

// flush commits the next portion of the batch unless a commit is in flight. A
// batch without rows is dispatched at once, except that an empty commit renews
// the lease row when keepaliveInterval has passed since the last one.
func (c *Controller) flush(now time.Time) {
	if c.inFlight != nil {
		return
	}
	if !c.next.needsCommit() && now.Sub(c.lastCommitAt) < keepaliveInterval {
		c.dispatch(c.next)
		c.next.starts, c.next.maintenanceOrders, c.next.acknowledged = nil, nil, map[primrosespar.Worker]scheduler.Acknowledgement{}
		return
	}
	b := c.next.takePortion(committer.MaxWrites)
	c.inFlight, c.lastCommitAt = b, now
	groups := c.encodeBatch(b)
	writes := make([][]primrosespar.Write, 0, len(groups))
	for _, g := range groups {
		writes = append(writes, g.writes)
	}
	c.commitStartedAt.Store(int64(now.Sub(c.startedAt)) + 1)
	c.goTask("commit", func() {
		refused, err := c.parts.Committer.CommitGroups(c.ctx, writes)
		c.enqueue(func() {
			for i, reason := range refused {
				c.refuseGroup(b, groups[i], reason)
			}
			c.handleCommitResult(b, err)
		})
	})
}

// handleCommitResult handles the result of the commit in flight. A failed
// commit ends the term; what the store refuses costs its job only.
func (c *Controller) handleCommitResult(b *batch, err error) {
	c.commitStartedAt.Store(0)
	if err != nil {
		c.termErr = err
		return
	}
	c.inFlight = nil
	c.parts.OnStoreAnswer()
	c.setAsideRefused(b)
	for id, r := range b.records {
		if !r.PiecesOnly {
			c.committedStates[id] = r.Progress.State
		}
	}
	for _, reply := range b.allReplies() {
		reply(nil)
	}
	c.dispatch(b)
}

// dispatch sends the orders and acknowledgements of a stored batch.
func (c *Controller) dispatch(b *batch) {
	now := c.parts.Clock.Now()
	for _, start := range b.starts {
		p := c.pollers[start.Worker]
		if p == nil || !c.scheduler.ShouldSend(start, now) {
			continue
		}
		if !c.mayOrder() {
			c.scheduler.HandleStartResult(start, primrosespar.CodePeerUnavailable, now)
			continue
		}
		p.Start(c.ctx, primrosespar.Start{
			Run: start.Run, Spec: start.Spec, Checkpoint: start.Checkpoint, Ticket: start.Ticket,
		})
	}
	for _, o := range b.maintenanceOrders {
		c.goTask("maintenance order", func() { c.sendMaintenanceOrder(o) })
	}
	for w, acknowledgement := range b.acknowledged {
		if p := c.pollers[w]; p != nil {
			p.Acknowledge(acknowledgement.StartedAt, acknowledgement.Sequence)
		}
	}
}

// mayOrder reports whether the last confirmed commit is recent enough for orders
// to workers. A process that was suspended has to commit again first.
func (c *Controller) mayOrder() bool {
	return c.parts.Committer.Unconfirmed() <= lessor.RenewalTime
}

// failPendingReplies answers the callers that still wait when the term ends.
// The outcome of the commit in flight is unknown; of the next batch nothing was
// sent, but its jobs may be older than it.
func (c *Controller) failPendingReplies(err error) {
	if c.inFlight != nil {
		for _, reply := range c.inFlight.allReplies() {
			reply(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the term ended during the commit").WithCause(err))
		}
	}
	for id, replies := range c.next.replies {
		failure := primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the term ended before the commit").WithCause(err)
		if c.next.submitted[id] {
			failure = primrosespar.Fail(primrosespar.CodeNotHolder, "the term ended").WithCause(err)
		}
		for _, reply := range replies {
			reply(failure)
		}
	}
}
