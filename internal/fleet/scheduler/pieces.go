package scheduler

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// at returns the unit with the index and creates it if it has not been used yet.
func (st *step) at(i int) *unit {
	if st.units == nil {
		st.units = make([]*unit, st.unitCount())
	}
	if st.units[i] == nil {
		st.units[i] = &unit{step: st, firstIndex: i, size: st.unitSize()}
	}
	return st.units[i]
}

// unitCount returns the number of units of the step.
func (st *step) unitCount() int {
	if st.spec.Gang {
		return 1
	}
	return st.spec.Count
}

// unitSize returns the number of tasks of a unit of the step.
func (st *step) unitSize() int {
	if st.spec.Gang {
		return st.spec.Count
	}
	return 1
}

// nextWaiting returns the index of the first unit in the phase Waiting from the
// index on, and the unit if it was used before. It returns the number of units
// if there is none.
func (st *step) nextWaiting(from int) (int, *unit) {
	if st.units == nil {
		return from, nil
	}
	i := max(from, st.firstWaiting)
	for i < len(st.units) && st.units[i] != nil && st.units[i].phase != encoder.Waiting {
		i++
	}
	if from <= st.firstWaiting {
		st.firstWaiting = i
	}
	if i < len(st.units) {
		return i, st.units[i]
	}
	return i, nil
}

// release replaces a unit that is done and has no members by one that all such
// units of the step share, so that a large job does not keep each of them.
func (st *step) release(u *unit) {
	if st.spec.Gang || u.phase != encoder.Done || len(u.members) > 0 || st.units[u.firstIndex] != u {
		return
	}
	st.mostFailedRuns = max(st.mostFailedRuns, u.failedRunCount())
	st.mostCrashes = max(st.mostCrashes, u.mostCrashes())
	st.units[u.firstIndex] = st.doneUnit()
}

// doneUnit returns the unit that stands for those that are done.
func (st *step) doneUnit() *unit {
	if st.done == nil {
		st.done = &unit{step: st, size: 1, phase: encoder.Done}
	}
	return st.done
}

// touch marks the pieces of the unit as changed.
func (u *unit) touch() {
	if !u.step.occurrence.job.split {
		return
	}
	for p := u.firstIndex / encoder.PieceTasks; p <= (u.firstIndex+u.size-1)/encoder.PieceTasks; p++ {
		u.step.changePiece(p)
	}
}

// changePiece marks a piece as changed.
func (st *step) changePiece(p int) {
	if st.changedPieces == nil {
		st.changedPieces = make([]bool, st.pieceCount())
	}
	st.changedPieces[p] = true
}

// pieceCount returns the number of pieces of the step.
func (st *step) pieceCount() int {
	return (st.spec.Count + encoder.PieceTasks - 1) / encoder.PieceTasks
}

// markStored records that a piece has a row.
func (st *step) markStored(p int) {
	if st.storedPieces == nil {
		st.storedPieces = make([]bool, st.pieceCount())
	}
	st.storedPieces[p] = true
}

// splitIfLarge puts the units of the job into pieces from now on if its
// occurrences have more than limit tasks together.
func (j *job) splitIfLarge(limit int) {
	if j.split || j.setAside || j.submission.Tasks()*len(j.occurrences) <= limit {
		return
	}
	j.split = true
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for i, u := range st.units {
				switch {
				case u == nil, u.phase == encoder.Waiting && u.run == 0:
				case st.spec.Gang:
					u.touch()
				default:
					st.changePiece(i / encoder.PieceTasks)
				}
			}
		}
	}
}

// recordPieces adds the occurrences and the changed pieces of a split job to its
// record, and the pieces that are not needed any more.
func (j *job) recordPieces(r *Record) {
	r.Progress.Split = true
	r.Dropped, j.droppedPieces = j.droppedPieces, nil
	for _, o := range j.occurrences {
		if j.setAside || !o.hasMembers() && (o.counted || j.state.Ended()) {
			r.Dropped = append(r.Dropped, o.takeStoredPieces()...)
			continue
		}
		r.Progress.Occurrences = append(r.Progress.Occurrences, encoder.Occurrence{Index: o.index, Counted: o.counted})
		for _, st := range o.steps {
			for p, changed := range st.changedPieces {
				if !changed {
					continue
				}
				if r.Progress.Pieces == nil {
					r.Progress.Pieces = map[encoder.PieceKey][]encoder.Unit{}
				}
				r.Progress.Pieces[st.pieceKey(p)] = st.piece(p)
				st.changedPieces[p] = false
				st.markStored(p)
			}
		}
	}
	r.PiecesOnly = j.headRecorded && r.Submission == nil && sameHead(j.recordedHead, r.Progress)
	r.HeadLast = !j.headRecorded && r.Submission == nil
	r.HeadFirst = !j.headRecorded || j.recordedHead.Created != r.Progress.Created
	j.headRecorded, j.recordedHead = true, r.Progress
	j.recordedHead.Pieces = nil
}

// sameHead reports whether the rows of a split job would be the same, beside
// its pieces.
func sameHead(a, b encoder.Progress) bool {
	return a.State == b.State && a.Finished == b.Finished && a.Created == b.Created &&
		slices.EqualFunc(a.Occurrences, b.Occurrences, func(x, y encoder.Occurrence) bool {
			return x.Index == y.Index && x.Counted == y.Counted
		})
}

// pieceKey returns the key of a piece of the step.
func (st *step) pieceKey(p int) encoder.PieceKey {
	return encoder.PieceKey{Occurrence: st.occurrence.index, Step: st.index, Index: p}
}

// takeStoredPieces returns the pieces of the occurrence that have rows, which are
// to be deleted.
func (o *occurrence) takeStoredPieces() []encoder.PieceKey {
	var keys []encoder.PieceKey
	for _, st := range o.steps {
		for p, stored := range st.storedPieces {
			if stored {
				keys = append(keys, st.pieceKey(p))
			}
		}
		st.storedPieces, st.changedPieces = nil, nil
	}
	return keys
}

// piece returns the stored form of the units in a piece, nil if all are done.
func (st *step) piece(p int) []encoder.Unit {
	first, last := p*encoder.PieceTasks, min((p+1)*encoder.PieceTasks, st.spec.Count)
	if st.spec.Gang {
		return st.units[0].gangPiece(first, last)
	}
	units := make([]encoder.Unit, 0, last-first)
	done := true
	for _, u := range st.units[first:last] {
		if u == nil {
			units = append(units, encoder.Unit{})
			done = false
			continue
		}
		units = append(units, u.progress())
		done = done && u.phase == encoder.Done && len(u.members) == 0
	}
	if done {
		return nil
	}
	return units
}

// gangPiece returns the stored form of the tasks first to last of a gang. What
// concerns the gang as a whole is in its first piece.
func (u *unit) gangPiece(first, last int) []encoder.Unit {
	all := u.progress()
	part := encoder.Unit{Phase: all.Phase, Run: all.Run}
	for _, number := range all.Failed {
		index := 0
		if number&crashMark != 0 {
			index = parseCrash(number).index
		}
		if first <= index && index < last {
			part.Failed = append(part.Failed, number)
		}
	}
	if first == 0 {
		part.Checkpoint = all.Checkpoint
	}
	part.Workers = pieceOfWorkers(all.Workers, u.size, first, last)
	return []encoder.Unit{part}
}

// pieceOfWorkers returns the workers of the tasks first to last of a gang with
// the marks of their lifetimes, nil if there are none.
func pieceOfWorkers(all []primrosespar.Worker, size, first, last int) []primrosespar.Worker {
	if len(all) == 0 || !slices.ContainsFunc(all[first:last], func(w primrosespar.Worker) bool { return w != "" }) {
		return nil
	}
	return append(slices.Clone(all[first:last]), all[size][first:last])
}

// restorePieces restores the units of a split job from its pieces.
func (s *Scheduler) restorePieces(j *job, pieces map[encoder.PieceKey][]encoder.Unit, now time.Time) {
	occurrences := map[int]*occurrence{}
	for _, o := range j.occurrences {
		occurrences[o.index] = o
	}
	gangs := map[*step]encoder.Unit{}
	for _, key := range sortedPieces(pieces) {
		o := occurrences[key.Occurrence]
		if o == nil || key.Step < 0 || key.Step >= len(o.steps) {
			continue
		}
		st := o.steps[key.Step]
		if key.Index < 0 || key.Index >= st.pieceCount() {
			continue
		}
		st.markStored(key.Index)
		if st.spec.Gang {
			gangs[st] = mergeGang(gangs[st], key.Index, st.spec.Count, pieces[key])
		} else {
			s.restorePiece(st, key.Index, pieces[key], now)
		}
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if merged, ok := gangs[st]; ok {
				s.restoreUnit(st.at(0), merged, now)
			}
		}
	}
}

// sortedPieces returns the keys of the pieces in order.
func sortedPieces(pieces map[encoder.PieceKey][]encoder.Unit) []encoder.PieceKey {
	keys := make([]encoder.PieceKey, 0, len(pieces))
	for key := range pieces {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, encoder.PieceKey.Compare)
	return keys
}

// restorePiece restores the units of a piece of single tasks.
func (s *Scheduler) restorePiece(st *step, p int, units []encoder.Unit, now time.Time) {
	first := p * encoder.PieceTasks
	last := min(first+encoder.PieceTasks, st.spec.Count)
	if units == nil {
		units = slices.Repeat([]encoder.Unit{{Phase: encoder.Done}}, last-first)
	}
	for k, stored := range units[:min(len(units), last-first)] {
		if stored.Phase == encoder.Waiting && stored.Run == 0 {
			continue
		}
		u := st.at(first + k)
		s.restoreUnit(u, stored, now)
		st.release(u)
	}
}

// mergeGang adds a piece of a gang to those before it. A piece of another run
// was stored when the first one was not, and no order of that run was sent.
func mergeGang(gang encoder.Unit, p, size int, units []encoder.Unit) encoder.Unit {
	if units == nil {
		units = []encoder.Unit{{Phase: encoder.Done}}
	}
	part := units[0]
	if p == 0 {
		gang = part
		gang.Workers = nil
	} else {
		gang.Failed = append(gang.Failed, part.Failed...)
	}
	if part.Run != gang.Run || len(part.Workers) == 0 {
		return gang
	}
	if gang.Workers == nil {
		gang.Workers = make([]primrosespar.Worker, size+1)
		gang.Workers[size] = primrosespar.Worker(make([]byte, size))
	}
	first := p * encoder.PieceTasks
	last := min(first+encoder.PieceTasks, size)
	n := copy(gang.Workers[first:last], part.Workers)
	if len(part.Workers) > n {
		marks := []byte(gang.Workers[size])
		copy(marks[first:last], part.Workers[n])
		gang.Workers[size] = primrosespar.Worker(marks)
	}
	return gang
}

// settleOccurrences ends the occurrences of a split job that earlier holders
// have finished or whose last piece was stored as done before the occurrence
// was counted.
func (s *Scheduler) settleOccurrences(j *job, now time.Time) {
	for _, o := range slices.Clone(j.occurrences) {
		if !o.counted {
			if o.done() && !j.state.Ended() {
				s.completeOccurrence(o, now)
			}
			continue
		}
		for _, st := range o.steps {
			st.unfinished = 0
			for i := range st.unitCount() {
				if st.units == nil || st.units[i] == nil || st.units[i].phase != encoder.Done {
					u := st.at(i)
					u.setPhase(encoder.Done)
					s.stopUnit(u, primrosespar.LossOther, "occurrence ended")
					st.release(u)
				}
			}
		}
	}
}
