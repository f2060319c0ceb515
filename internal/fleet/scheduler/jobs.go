package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// job is a submitted job.
type job struct {
	submission primrosespar.Submission
	state      primrosespar.JobState
	// arrived is on the wall clock; arrivedMonotonic is the matching reading of
	// the monotonic clock of this holder.
	arrived          time.Time
	arrivedMonotonic time.Time
	endedAt          time.Time
	// started is set once a worker is known to have begun a task.
	started bool
	// finished counts the occurrences that have ended, created those that have
	// been created.
	finished    int
	created     int
	occurrences []*occurrence
	// termsCatalog is the catalog that the queue terms were last read from.
	termsCatalog *primrosespar.Catalog
	// memberCount counts the members on workers.
	memberCount int
	// accountUse and queueUse are what its account and queue use, relative to
	// what they are entitled to, when that was last counted.
	accountUse, queueUse float64
	// waitingUnits counts the units in the phase Waiting.
	waitingUnits      int
	dirty             bool
	submissionUnsaved bool
	// setAside is set once the store has refused the record or if the rows of an
	// earlier holder cannot be decoded. Only the state of the job is stored then.
	setAside bool
	// memory is the estimated memory of an occurrence. delayed is set once an
	// occurrence had to wait for it.
	memory  int64
	delayed bool
	// split is set if the units are stored in pieces. recordedHead is what the
	// last record held besides them, if headRecorded is set. droppedPieces are
	// pieces of dropped occurrences that still have rows.
	split         bool
	headRecorded  bool
	recordedHead  encoder.Progress
	droppedPieces []encoder.PieceKey
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job   *job
	index int
	due   time.Time
	steps []*step
	// criticalPaths holds, by step, the estimated duration of the longest chain
	// of dependent steps that begins there or later.
	criticalPaths []time.Duration
	// counted is set once the occurrence is counted as finished.
	counted bool
}

// step is a step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *primrosespar.Step
	// units holds the units that have been used, by index. Those that have not
	// are nil; all of them are while the slice is nil. done stands for those that
	// are done and have no members.
	units []*unit
	done  *unit
	// firstWaiting is an index before which no unit is in the phase Waiting.
	firstWaiting int
	// memberCount counts the members on workers.
	memberCount int
	// changedPieces and storedPieces say which pieces of a split job have changed
	// since the last record, and which have rows.
	changedPieces []bool
	storedPieces  []bool
	// mostFailedRuns and mostCrashes are those of the units that done stands for.
	mostFailedRuns int
	mostCrashes    int
	// unfinished counts the units that are not done.
	unfinished int
	// waitingUnits counts the units in the phase Waiting.
	waitingUnits int
	// readySince is when the predecessors of the step were done.
	readySince time.Time
	// Tasks of advised steps start only on workers with a ticket; denied
	// workers never get one.
	advised bool
	// regions are lists of regions, in each of which the workers of the tasks
	// have to be.
	regions        [][]primrosespar.Region
	adviceInFlight bool
	nextAdviceAt   time.Time
	// unansweredAdvice counts the last requests that got no answer, up to
	// maxAdviceHalvings.
	unansweredAdvice int
	tickets          map[primrosespar.Worker]ticket
	// meanTime is the mean time that the last runs of single tasks took.
	meanTime time.Duration
	denied   map[primrosespar.Worker]bool
}

// unit is the group of tasks that starts and ends together: a gang or a single
// task.
type unit struct {
	step       *step
	firstIndex int
	size       int

	phase encoder.Phase
	run   uint64
	// failedRuns holds the numbers of the last runs that failed, and
	// earlierFailedRuns counts those before them.
	failedRuns        []uint64
	earlierFailedRuns int
	// crashes are the runs that ended with a worker.
	crashes    []crash
	checkpoint string
	members    []*member
	// strays counts the runs of its tasks that workers list and that are in no
	// record.
	strays   int
	stopping bool
	// stopCause is the cause of the work that is lost by the current stop.
	stopCause primrosespar.LossCause
	// savedAt is when the checkpoint last changed.
	savedAt time.Time
	// firstEndAt is when the first member of the current run ended.
	firstEndAt time.Time
	notBefore  time.Time
	placedAt   time.Time
	progressAt time.Time
	// firstSentAt is when the first start order of the run was sent.
	firstSentAt time.Time
	// gatheredAt is when the last member of a run was first known to be on its
	// worker. A gang makes no progress before that.
	gatheredAt time.Time
	// gatheredRun is the number of the last run of which all members were on
	// their workers.
	gatheredRun uint64
	// restoredRun is the number of the run that an earlier holder had started, if
	// any.
	restoredRun uint64
	// stalls counts the runs that were stopped without progress, other than on
	// workers that are likely to be at fault. Each after the first doubles the
	// time that the next run may take, since the estimate may be wrong.
	stalls int
	// avoid holds the workers where a run failed.
	avoid map[primrosespar.Worker]bool
	// withinGuarantee is set if the unit runs within the guarantee of its
	// account.
	withinGuarantee bool
	claims          map[*worker]primrosespar.Resources
	claimUntil      time.Time
	// blockedVersion is the scheduler's capacityVersion at which the unit did
	// not fit. It is tried again when that changes or at retryAt.
	blockedVersion uint64
	retryAt        time.Time
	// nextReclaimAt is the earliest time of the next attempt to make room for
	// the unit. searchID is the last search that visited the unit as a possible
	// victim.
	nextReclaimAt time.Time
	searchID      uint64
	// reservedRack is the rack that is reserved for the unit until
	// reservedUntil.
	reservedRack  *rack
	reservedUntil time.Time
}

// newJob creates a job, with its occurrence if it does not repeat.
func (s *Scheduler) newJob(submission primrosespar.Submission, arrived, now time.Time) *job {
	j := &job{submission: submission, state: primrosespar.JobQueued, arrived: arrived, memory: submission.Memory()}
	j.arrivedMonotonic = now.Add(-max(0, s.opts.WallClock(now).Sub(arrived)))
	if submission.Repeat.Count == 0 {
		s.addOccurrence(j, 0, now)
	}
	return j
}

// addOccurrence creates an occurrence and its steps.
func (s *Scheduler) addOccurrence(j *job, index int, now time.Time) *occurrence {
	o := &occurrence{job: j, index: index, due: now}
	for i := range j.submission.Steps {
		o.steps = append(o.steps, newStep(o, i, now))
	}
	for i := range o.steps {
		o.criticalPaths = append(o.criticalPaths, o.criticalPath(i))
	}
	j.occurrences = append(j.occurrences, o)
	j.created = max(j.created, index+1)
	return o
}

// criticalPath returns the estimated duration of the longest chain of dependent
// steps, counting from the given step.
func (o *occurrence) criticalPath(from int) time.Duration {
	longest := make([]time.Duration, len(o.steps))
	var total time.Duration
	for i := from; i < len(o.steps); i++ {
		spec := o.steps[i].spec
		longest[i] = spec.Estimate
		for _, predecessor := range spec.After {
			if predecessor >= from && predecessor < i {
				longest[i] = max(longest[i], longest[predecessor]+spec.Estimate)
			}
		}
		total = max(total, longest[i])
	}
	return total
}

// setPhase changes the phase of the unit.
func (u *unit) setPhase(phase encoder.Phase) {
	delta := 0
	if u.phase == encoder.Waiting {
		delta--
	}
	if phase == encoder.Waiting {
		delta++
	}
	u.phase = phase
	u.step.waitingUnits += delta
	u.step.occurrence.job.waitingUnits += delta
	if phase == encoder.Waiting {
		u.step.firstWaiting = min(u.step.firstWaiting, u.firstIndex)
	}
	u.touch()
}

// newStep creates a step, whose units are created when they are used.
func newStep(o *occurrence, index int, now time.Time) *step {
	spec := &o.job.submission.Steps[index]
	st := &step{occurrence: o, index: index, spec: spec}
	if len(spec.After) == 0 {
		st.readySince = now
	}
	st.unfinished = st.unitCount()
	st.waitingUnits = st.unitCount()
	o.job.waitingUnits += st.unitCount()
	return st
}

// restoreOccurrence restores an occurrence from its stored progress.
func (s *Scheduler) restoreOccurrence(j *job, stored encoder.Occurrence, now time.Time) *occurrence {
	var o *occurrence
	for _, known := range j.occurrences {
		if known.index == stored.Index {
			o = known
		}
	}
	if o == nil {
		o = s.addOccurrence(j, stored.Index, now)
	}
	o.counted = stored.Counted
	for i, units := range stored.Steps {
		if i >= len(o.steps) {
			break
		}
		for k, storedUnit := range units {
			if k < o.steps[i].unitCount() {
				u := o.steps[i].at(k)
				s.restoreUnit(u, storedUnit, now)
				o.steps[i].release(u)
			}
		}
	}
	return o
}

// restoreUnit restores a unit from its stored progress.
func (s *Scheduler) restoreUnit(u *unit, stored encoder.Unit, now time.Time) {
	u.run = stored.Run
	u.setCheckpoint(stored.Checkpoint, now)
	u.restoreFailures(stored.Failed)
	u.trimFailures()
	u.setPhase(stored.Phase)
	if u.begun() {
		u.step.occurrence.job.started = true
	}
	if u.phase == encoder.Done {
		u.step.unfinished--
	}
	if len(stored.Workers) > 0 {
		u.placedAt, u.progressAt, u.restoredRun = now, now, u.run
	}
	for i, name := range stored.Workers {
		if name == "" || i >= u.size {
			continue
		}
		w := s.ensureWorker(name, now)
		m := &member{
			unit: u, index: u.firstIndex + i, run: u.run, worker: w, phase: restored, answeredAt: now,
			lifetime: u.storedLifetime(stored, i),
		}
		s.attach(m)
	}
	if u.phase == encoder.Placed && len(u.members) == 0 {
		u.setPhase(encoder.Waiting)
	}
}

// begun reports whether the record of a unit shows that a worker has begun a
// task of it. A start alone may never have been sent.
func (u *unit) begun() bool {
	return u.phase == encoder.Done || u.phase == encoder.Failed || len(u.failedRuns) > 0 || u.checkpoint != ""
}

// releaseSteps makes steps ready whose predecessors are done.
func (s *Scheduler) releaseSteps(o *occurrence, now time.Time) {
	for _, st := range o.steps {
		if st.readySince.IsZero() && st.dependenciesDone() {
			st.readySince = now
		}
	}
}

// dependenciesDone reports whether the predecessors of the step are done.
func (st *step) dependenciesDone() bool {
	for _, predecessor := range st.spec.After {
		if predecessor < len(st.occurrence.steps) && st.occurrence.steps[predecessor].unfinished > 0 {
			return false
		}
	}
	return true
}

// done reports whether all steps are done.
func (o *occurrence) done() bool {
	for _, st := range o.steps {
		if st.unfinished > 0 {
			return false
		}
	}
	return true
}

// units returns the units of all occurrences of the job that have been used.
func (j *job) units() []*unit {
	var units []*unit
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, u := range st.units {
				if u != nil {
					units = append(units, u)
				}
			}
		}
	}
	return units
}

// hasMembers reports whether any member is on a worker.
func (o *occurrence) hasMembers() bool {
	for _, st := range o.steps {
		if st.memberCount > 0 {
			return true
		}
	}
	return false
}

// completeUnit marks a unit as done, makes the steps ready that waited for it,
// and completes the job if this was its last unit.
func (s *Scheduler) completeUnit(u *unit, now time.Time) {
	j := u.step.occurrence.job
	u.setPhase(encoder.Done)
	u.step.unfinished--
	s.markDirty(j)
	s.dropClaim(u)
	u.step.release(u)
	o := u.step.occurrence
	if j.state.Ended() || o.counted || u.step.unfinished > 0 {
		return
	}
	s.releaseSteps(o, now)
	if o.done() {
		s.completeOccurrence(o, now)
	}
}

// completeOccurrence counts an occurrence whose steps are done, and completes the
// job if it was the last one.
func (s *Scheduler) completeOccurrence(o *occurrence, now time.Time) {
	j := o.job
	o.counted = true
	j.finished++
	s.markDirty(j)
	if j.finished >= max(1, j.submission.Repeat.Count) {
		s.endJob(j, primrosespar.JobCompleted, now)
	}
}

// createDueOccurrences creates the occurrences that are due and drops those
// that have ended.
func (s *Scheduler) createDueOccurrences(j *job, now time.Time) {
	if j.submission.Repeat.Count == 0 {
		return
	}
	wallNow := s.opts.WallClock(now)
	kept := j.occurrences[:0]
	for _, o := range j.occurrences {
		if !o.done() || o.hasMembers() {
			kept = append(kept, o)
		} else if pieces := o.takeStoredPieces(); len(pieces) > 0 {
			j.droppedPieces = append(j.droppedPieces, pieces...)
			s.markDirty(j)
		}
	}
	j.occurrences = kept
	for j.created < j.submission.Repeat.Count {
		startsAt := j.submission.Repeat.Start.Add(time.Duration(j.created) * j.submission.Repeat.Every)
		if wallNow.Before(startsAt) || !s.mayCreateOccurrence(j) {
			break
		}
		s.addOccurrence(j, j.created, now)
		s.markDirty(j)
	}
}

// record returns the record to store for the job.
func (j *job) record(inlineTasks int) Record {
	progress := encoder.Progress{State: j.state, Arrived: j.arrived.UnixMilli(), Finished: j.finished, Created: j.created}
	r := Record{Job: j.submission.ID, Progress: progress}
	if j.submissionUnsaved {
		r.Submission = &j.submission
	}
	if j.splitIfLarge(inlineTasks); j.split {
		j.recordPieces(&r)
		return r
	}
	for _, o := range j.occurrences {
		if j.setAside || j.state.Ended() && !o.hasMembers() {
			continue
		}
		r.Progress.Occurrences = append(r.Progress.Occurrences, o.progress())
	}
	return r
}

// progress returns the stored form of an occurrence.
func (o *occurrence) progress() encoder.Occurrence {
	progress := encoder.Occurrence{Index: o.index}
	for _, st := range o.steps {
		units := make([]encoder.Unit, st.unitCount())
		for i, u := range st.units {
			if u != nil {
				units[i] = u.progress()
			}
		}
		progress.Steps = append(progress.Steps, units)
	}
	return progress
}

// progress returns the stored form of a unit.
func (u *unit) progress() encoder.Unit {
	progress := encoder.Unit{
		Phase: u.phase, Run: u.run, Failed: u.storedFailures(), Checkpoint: u.checkpoint, Workers: u.storedWorkers(),
	}
	if u.phase == encoder.Done {
		progress.Checkpoint = ""
	}
	return progress
}

// terms returns the current terms of the job's queue. Jobs of a removed queue
// keep its last terms.
func (s *Scheduler) terms(j *job) *primrosespar.QueueTerms {
	if j.termsCatalog != s.catalog && s.catalog != nil {
		j.termsCatalog = s.catalog
		if t, ok := s.catalog.Terms(j.submission.Queue); ok {
			j.submission.Terms = t
		}
	}
	return &j.submission.Terms
}
