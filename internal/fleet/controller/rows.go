package controller

import (
	"maps"
	"slices"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

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
	groups := make([]writeGroup, 0, len(b.order)+len(b.waves)+1)
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
	if err != nil || r.PiecesOnly {
		return writes, err
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
