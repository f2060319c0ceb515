package controller

import (
	"cmp"
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
	order        []primrosespar.JobID
	deletedKeys  map[string]bool
	starts       []scheduler.Order
	acknowledged map[primrosespar.Worker]scheduler.Acknowledgement
	// replies are the replies to the callers that wait for a change of a job.
	replies map[primrosespar.JobID][]func(error)
	// submitted are the jobs that are new and of which nothing was sent to the
	// store.
	submitted map[primrosespar.JobID]bool
	// waves are the maintenance waves to store, by number; maintenanceOrders
	// are sent once they are stored.
	waves             map[int]maintainer.Record
	maintenanceOrders []maintainer.Order
	// fromInbox are the jobs whose messages in the inbox are deleted with their
	// records, refused those that the store refuses for good, with the reason.
	// pieces are those of records that do not fit into the transaction.
	pieces map[primrosespar.JobID]map[encoder.PieceKey][]encoder.Unit
	// piecesAhead are the pieces that were taken from the records.
	piecesAhead map[primrosespar.JobID][]encoder.PieceKey
	fromInbox   map[primrosespar.JobID]bool
	refused     map[primrosespar.JobID]error
}

// newBatch returns an empty batch.
func newBatch() *batch {
	return &batch{
		records:      map[primrosespar.JobID]scheduler.Record{},
		deletedKeys:  map[string]bool{},
		acknowledged: map[primrosespar.Worker]scheduler.Acknowledgement{},
		waves:        map[int]maintainer.Record{},
		replies:      map[primrosespar.JobID][]func(error){},
		submitted:    map[primrosespar.JobID]bool{},
		pieces:       map[primrosespar.JobID]map[encoder.PieceKey][]encoder.Unit{},
		piecesAhead:  map[primrosespar.JobID][]encoder.PieceKey{},
		fromInbox:    map[primrosespar.JobID]bool{},
		refused:      map[primrosespar.JobID]error{},
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
		}
		if r.Submission == nil {
			r.Submission = previous.Submission
		} else {
			// The rows of an earlier job with this ID are replaced.
			delete(b.deletedKeys, primrosespar.ProgressKey(r.Job))
			delete(b.deletedKeys, primrosespar.SubmissionKey(r.Job))
		}
		if r.Progress.Split {
			r.Whole = r.Whole || previous.Whole
			b.mergePieces(&r, previous.Progress.Pieces)
		}
		b.records[r.Job] = r
	}
	b.starts = append(b.starts, changes.Starts...)
	for w, acknowledgement := range changes.Acknowledged {
		b.acknowledged[w] = acknowledgement
	}
}

// mergePieces adds the pieces of the previous record of the job that are not
// dropped or changed again.
func (b *batch) mergePieces(r *scheduler.Record, previous map[encoder.PieceKey][]encoder.Unit) {
	if len(previous) > 0 {
		maps.Copy(previous, r.Progress.Pieces)
		r.Progress.Pieces = previous
	}
	for _, key := range r.Dropped {
		delete(r.Progress.Pieces, key)
		b.deletedKeys[primrosespar.ProgressPieceKey(r.Job, key.String())] = true
	}
	if len(b.deletedKeys) > 0 {
		for key := range r.Progress.Pieces {
			delete(b.deletedKeys, primrosespar.ProgressPieceKey(r.Job, key.String()))
		}
	}
	r.Dropped = nil
}

// takePortion moves the records that matter most, and what waits for them alone,
// to a new batch of one transaction. It answers a store that takes most of a
// second for a transaction: a start or an answer to a caller then does not wait
// for all that has changed meanwhile. What depends on more than one job goes
// with the last portion: an acknowledgement covers the ends of several jobs, and
// a row is deleted only after what replaces it is stored.
func (b *batch) takePortion(maxRows int) *batch {
	portion := newBatch()
	kept := b.order[:0:0]
	rows := 0
	for _, id := range b.byImportance() {
		r := b.records[id]
		n := recordRows(r)
		if rows+n > maxRows {
			rows += b.takePieces(id, portion, maxRows-rows)
			kept = append(kept, id)
			continue
		}
		rows += n
		portion.records[id] = r
		portion.order = append(portion.order, id)
		delete(b.records, id)
		delete(b.piecesAhead, id)
	}
	b.order = kept
	for id, replies := range b.replies {
		if _, waits := b.records[id]; !waits {
			portion.replies[id] = replies
			delete(b.replies, id)
			delete(b.submitted, id)
		}
	}
	b.starts, portion.starts = splitStarts(b.starts, b.records)
	if len(b.records) == 0 {
		portion.acknowledged, portion.waves, portion.maintenanceOrders = b.acknowledged, b.waves, b.maintenanceOrders
		rest := newBatch()
		b.acknowledged, b.waves, b.maintenanceOrders = rest.acknowledged, rest.waves, nil
		b.takeDeletions(portion, max(1, maxRows-rows))
	}
	return portion
}

// recordRows returns the number of rows of a record.
func recordRows(r scheduler.Record) int {
	n := 1 + len(r.Progress.Pieces)
	if r.Submission != nil || r.Progress.State.Ended() {
		// The row of the submission is written or deleted too.
		n++
	}
	return n
}

// takePieces moves pieces of a record that does not fit into the portion, at most
// limit, and returns their number. The rest of the record follows them.
func (b *batch) takePieces(id primrosespar.JobID, portion *batch, limit int) int {
	pieces := b.records[id].Progress.Pieces
	if limit <= 0 || len(pieces) == 0 {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(pieces), encoder.PieceKey.Compare)
	keys = keys[:min(limit, len(keys))]
	taken := make(map[encoder.PieceKey][]encoder.Unit, len(keys))
	for _, key := range keys {
		taken[key] = pieces[key]
		delete(pieces, key)
	}
	portion.pieces[id] = taken
	b.piecesAhead[id] = append(b.piecesAhead[id], keys...)
	return len(keys)
}

// takeDeletions moves at most limit deletions to the portion.
func (b *batch) takeDeletions(portion *batch, limit int) {
	for key := range b.deletedKeys {
		if len(portion.deletedKeys) == limit {
			return
		}
		portion.deletedKeys[key] = true
		delete(b.deletedKeys, key)
	}
}

// byImportance returns the jobs of the records: first those that a caller waits
// for, then those with tasks to start or that have ended, which callers see only
// once it is stored, by priority, then the others, each in the order in which
// they were added.
func (b *batch) byImportance() []primrosespar.JobID {
	toStart := map[primrosespar.JobID]bool{}
	for _, start := range b.starts {
		toStart[start.Run.Task.Job] = true
	}
	class := func(id primrosespar.JobID) int {
		switch {
		case len(b.replies[id]) > 0:
			return 0
		case toStart[id] || b.records[id].Progress.State.Ended():
			return 1
		}
		return 2
	}
	ids := slices.Clone(b.order)
	slices.SortStableFunc(ids, func(x, y primrosespar.JobID) int {
		return cmp.Or(cmp.Compare(class(x), class(y)), cmp.Compare(b.records[x].Priority, b.records[y].Priority))
	})
	return ids
}

// splitStarts returns the starts that still wait for a record or for pieces of
// their step, and the others.
func splitStarts(starts []scheduler.Order, records map[primrosespar.JobID]scheduler.Record) (waiting, ready []scheduler.Order) {
	waitingSteps := map[primrosespar.JobID]map[[2]int]bool{}
	for _, start := range starts {
		task := start.Run.Task
		r, waits := records[task.Job]
		if waits && r.Progress.Split {
			steps, known := waitingSteps[task.Job]
			if !known {
				steps = map[[2]int]bool{}
				for key := range r.Progress.Pieces {
					steps[[2]int{key.Occurrence, key.Step}] = true
				}
				waitingSteps[task.Job] = steps
			}
			waits = r.Submission != nil || r.Whole || steps[[2]int{task.Occurrence, task.Step}]
		}
		if waits {
			waiting = append(waiting, start)
		} else {
			ready = append(ready, start)
		}
	}
	return waiting, ready
}

// withdraw removes a job that was submitted since the last commit began, and
// returns the replies to its callers.
func (b *batch) withdraw(id primrosespar.JobID) []func(error) {
	replies := b.replies[id]
	delete(b.replies, id)
	delete(b.submitted, id)
	delete(b.records, id)
	for _, key := range b.piecesAhead[id] {
		b.deletedKeys[primrosespar.ProgressPieceKey(id, key.String())] = true
	}
	delete(b.piecesAhead, id)
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
	return len(b.records) > 0 || len(b.waves) > 0 || len(b.deletedKeys) > 0 || len(b.replies) > 0
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
	if c.commitAge() < withdrawThreshold {
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

// writeGroup is the writes of a commit that are stored or refused together.
type writeGroup struct {
	// job is the job that the writes belong to, if any, and wave the maintenance
	// wave.
	job    primrosespar.JobID
	wave   int
	writes []primrosespar.Write
}

// encodeBatch returns the writes of the batch in the order in which they have
// to be stored. Records that cannot be encoded go to the refused ones of the
// batch.
func (c *Controller) encodeBatch(b *batch) []writeGroup {
	groups := make([]writeGroup, 0, len(b.order)+len(b.pieces)+len(b.waves)+1)
	for _, id := range slices.Sorted(maps.Keys(b.pieces)) {
		writes, err := c.encodePieces(id, b.pieces[id])
		if err != nil {
			b.refused[id] = err
			continue
		}
		groups = append(groups, writeGroup{job: id, writes: writes})
	}
	for _, id := range b.order {
		writes, err := c.encodeRecord(b, b.records[id])
		if err != nil {
			b.refused[id] = err
			continue
		}
		groups = append(groups, writeGroup{job: id, writes: writes})
	}
	for _, number := range slices.Sorted(maps.Keys(b.waves)) {
		w, err := c.encodeWave(b.waves[number])
		if err != nil {
			c.refuseWave(b, number, err)
			continue
		}
		groups = append(groups, writeGroup{wave: number, writes: []primrosespar.Write{w}})
	}
	var deletions []primrosespar.Write
	for _, key := range slices.Sorted(maps.Keys(b.deletedKeys)) {
		deletions = append(deletions, primrosespar.Write{Key: key, Delete: true})
	}
	if len(deletions) > 0 {
		groups = append(groups, writeGroup{writes: deletions})
	}
	return groups
}

// encodePieces returns the writes of pieces of a job.
func (c *Controller) encodePieces(id primrosespar.JobID, pieces map[encoder.PieceKey][]encoder.Unit) ([]primrosespar.Write, error) {
	var writes []primrosespar.Write
	for _, key := range slices.SortedFunc(maps.Keys(pieces), encoder.PieceKey.Compare) {
		data, err := c.encoder.Piece(pieces[key])
		if err != nil {
			return nil, err
		}
		writes = append(writes, primrosespar.Write{Key: primrosespar.ProgressPieceKey(id, key.String()), Value: data})
	}
	return writes, nil
}

// encodeRecord returns the writes of the record of a job.
func (c *Controller) encodeRecord(b *batch, r scheduler.Record) ([]primrosespar.Write, error) {
	writes, err := c.encodePieces(r.Job, r.Progress.Pieces)
	if err != nil {
		return nil, err
	}
	progress, err := c.encoder.Progress(r.Progress)
	if err != nil {
		return nil, err
	}
	finished := r.Progress.State.Ended() && len(r.Progress.Occurrences) == 0
	if !finished && r.Submission != nil {
		// The submission comes before the progress: a large batch is split, and
		// progress without its submission could not be taken over.
		submission, err := c.encoder.Submission(*r.Submission)
		if err != nil {
			return nil, err
		}
		writes = append(writes, primrosespar.Write{Key: primrosespar.SubmissionKey(r.Job), Value: submission})
	}
	writes = append(writes, primrosespar.Write{Key: primrosespar.ProgressKey(r.Job), Value: progress})
	if finished {
		write, err := c.encodeEnded(r.Job)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	if message := primrosespar.FleetInboxSubmitKey(r.Job); b.deletedKeys[message] {
		// If the store refuses the job, its message stays as well.
		writes = append(writes, primrosespar.Write{Key: message, Delete: true})
		delete(b.deletedKeys, message)
		b.fromInbox[r.Job] = true
	}
	return writes, nil
}

// encodeEnded returns the write of the submission of a job that has ended. Only
// who has a right to the job is still needed.
func (c *Controller) encodeEnded(id primrosespar.JobID) (primrosespar.Write, error) {
	owner, known := c.scheduler.Owner(id)
	if !known {
		return primrosespar.Write{Key: primrosespar.SubmissionKey(id), Delete: true}, nil
	}
	value, err := c.encoder.Submission(owner)
	return primrosespar.Write{Key: primrosespar.SubmissionKey(id), Value: value}, err
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
		c.committedStates[id] = r.Progress.State
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
// The outcome of the commit in flight is unknown; the next batch was never
// sent.
func (c *Controller) failPendingReplies(err error) {
	if c.inFlight != nil {
		for _, reply := range c.inFlight.allReplies() {
			reply(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the term ended during the commit").WithCause(err))
		}
	}
	for _, reply := range c.next.allReplies() {
		reply(primrosespar.Fail(primrosespar.CodeNotHolder, "the term ended").WithCause(err))
	}
}
