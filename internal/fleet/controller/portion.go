package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Shares of a transaction.
const (
	// largeRecordRows is the most rows of a record that is stored as a whole
	// before parts of larger ones.
	largeRecordRows = 30
	// largeRecordShare is the rows that are kept for parts of larger ones.
	largeRecordShare = 30
)

// takePortion moves the records that matter most, and what waits for them alone,
// to a new batch of one transaction. It answers a store that takes most of a
// second for a transaction: a start or an answer to a caller then does not wait
// for all that has changed meanwhile. Of records with many pieces those that
// have waited longest are moved. What depends on more than one job follows all
// records that were added before: an acknowledgement covers the ends of several
// jobs, and a row is deleted only after what replaces it is stored.
func (b *batch) takePortion(maxRows int) *batch {
	portion := newBatch()
	var large []primrosespar.JobID
	ids := b.byImportance()
	limit := maxRows
	for _, id := range ids {
		if recordRows(b.records[id]) > largeRecordRows {
			large = append(large, id)
			limit = maxRows - largeRecordShare
		}
	}
	rows := 0
	for _, id := range ids {
		if n := recordRows(b.records[id]); n <= largeRecordRows && rows+n <= limit {
			rows += b.takeRecord(id, portion, n)
		}
	}
	for _, id := range large {
		rows += b.takeRecord(id, portion, maxRows-rows)
	}
	b.order = slices.DeleteFunc(b.order, func(id primrosespar.JobID) bool {
		_, waits := b.records[id]
		return !waits
	})
	for id, replies := range b.replies {
		if r, waits := b.records[id]; !waits || r.PiecesOnly {
			portion.replies[id] = replies
			delete(b.replies, id)
			delete(b.submitted, id)
		}
	}
	b.starts, portion.starts = splitStarts(b.starts, b.records)
	b.takeFollowers(portion, max(1, maxRows-rows))
	return portion
}

// recordRows returns the number of rows of a record.
func recordRows(r scheduler.Record) int { return headRows(r) + len(r.Progress.Pieces) }

// headRows returns the number of rows of a record besides its pieces.
func headRows(r scheduler.Record) int {
	switch {
	case r.PiecesOnly:
		return 0
	case r.Submission != nil || r.Progress.State.Ended():
		// The row of the submission is written or deleted too.
		return 2
	}
	return 1
}

// takeRecord moves at most limit rows of a record to the portion and returns
// their number.
func (b *batch) takeRecord(id primrosespar.JobID, portion *batch, limit int) int {
	r := b.records[id]
	rows := recordRows(r)
	if rows <= limit {
		portion.records[id] = r
		portion.order = append(portion.order, id)
		delete(b.records, id)
		delete(b.ages, id)
		delete(b.pieceAges, id)
		delete(b.headAfter, id)
		return rows
	}
	taken, head := r, headRows(r)
	if r.HeadLast {
		taken.PiecesOnly, taken.Submission, head = true, nil, 0
	}
	n := min(limit-head, len(r.Progress.Pieces))
	if n <= 0 {
		return 0
	}
	taken.Progress.Pieces = b.takePieces(id, n)
	portion.records[id] = taken
	portion.order = append(portion.order, id)
	if r.HeadLast {
		maps.DeleteFunc(b.headAfter[id], func(key encoder.PieceKey, _ bool) bool {
			_, waits := r.Progress.Pieces[key]
			return !waits
		})
		r.HeadLast = len(b.headAfter[id]) > 0
	} else {
		r.PiecesOnly, r.Submission, r.HeadFirst = true, nil, false
	}
	b.records[id] = r
	return head + n
}

// takePieces removes n pieces from a record, those that have waited longest, and
// returns them.
func (b *batch) takePieces(id primrosespar.JobID, n int) map[encoder.PieceKey][]encoder.Unit {
	pieces, ages := b.records[id].Progress.Pieces, b.pieceAges[id]
	keys := slices.SortedFunc(maps.Keys(pieces), func(x, y encoder.PieceKey) int {
		return cmp.Or(cmp.Compare(ages[x], ages[y]), x.Compare(y))
	})
	taken := make(map[encoder.PieceKey][]encoder.Unit, n)
	for _, key := range keys[:n] {
		taken[key] = pieces[key]
		delete(pieces, key)
		delete(ages, key)
	}
	b.ages[id] = b.generation
	for _, age := range ages {
		b.ages[id] = min(b.ages[id], age)
	}
	return taken
}

// takeFollowers moves the followers of the records that are stored or in the
// portion to the portion, with at most limit deletions.
func (b *batch) takeFollowers(portion *batch, limit int) {
	if b.closed != nil && b.waitsFor(b.closed.generation) {
		return
	}
	if b.closed != nil {
		rest := portion.followers.add(*b.closed, limit)
		b.closed = nil
		maps.Copy(b.deletedKeys, rest)
	}
	if len(b.records) == 0 {
		rest := portion.followers.add(b.followers, limit)
		b.followers = newFollowers()
		b.deletedKeys = rest
		return
	}
	if !b.empty() {
		closed := b.followers
		closed.generation = b.generation
		b.closed, b.followers = &closed, newFollowers()
		b.generation++
	}
}

// reopen lets the followers wait for all records that are added until they are
// next taken.
func (b *batch) reopen() {
	if b.closed != nil {
		later := b.followers
		b.followers, b.closed = *b.closed, nil
		b.followers.add(later, math.MaxInt)
	}
}

// waitsFor reports whether a record of the generation or before waits.
func (b *batch) waitsFor(generation uint64) bool {
	for id := range b.records {
		if b.ages[id] <= generation {
			return true
		}
	}
	return false
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

// splitStarts returns the starts that still wait for a record or for their
// pieces of one, and the others.
func splitStarts(starts []scheduler.Order, records map[primrosespar.JobID]scheduler.Record) (waiting, ready []scheduler.Order) {
	for _, start := range starts {
		if r, waits := records[start.Run.Task.Job]; waits && startWaits(start, r) {
			waiting = append(waiting, start)
		} else {
			ready = append(ready, start)
		}
	}
	return waiting, ready
}

// startWaits reports whether a start waits for the record of its job.
func startWaits(start scheduler.Order, r scheduler.Record) bool {
	if !r.Progress.Split || r.Submission != nil || r.HeadFirst || r.HeadLast {
		return true
	}
	task := start.Run.Task
	if !start.Gang {
		_, waits := r.Progress.Pieces[encoder.PieceKey{Occurrence: task.Occurrence, Step: task.Step, Index: task.Index / encoder.PieceTasks}]
		return waits
	}
	for key := range r.Progress.Pieces {
		if key.Occurrence == task.Occurrence && key.Step == task.Step {
			return true
		}
	}
	return false
}
