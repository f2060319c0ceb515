package scheduler

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// job is one submitted job.
type job struct {
	sub   primrosespar.Submission
	state primrosespar.JobState
	// arrived is wall clock; seen is the steady clock of this holder at which
	// the job would have arrived.
	arrived time.Time
	seen    time.Time
	endedAt time.Time
	// begun is set once a task has been started.
	begun bool
	// finished counts the ended occurrences, created those that were made.
	finished    int
	created     int
	occurrences []*occurrence
	// termsOf is the catalog that the terms were last taken from.
	termsOf *primrosespar.Catalog
	// running counts the members at workers.
	running int
	dirty   bool
	fresh   bool
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job   *job
	index int
	due   time.Time
	steps []*step
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	index int
	spec  *primrosespar.Step
	units []*unit
	// left counts the units that are not done.
	left int
	// readySince is when the step's predecessors were done.
	readySince time.Time
	// advised steps start only at workers with a ticket; denied workers never
	// get one.
	advised bool
	asking  bool
	askAt   time.Time
	tickets map[primrosespar.Worker]ticket
	denied  map[primrosespar.Worker]bool
}

// unit is what starts and ends together: a gang, or one task.
type unit struct {
	step  *step
	first int
	size  int

	phase encoder.Phase
	run   uint64
	// failed are the runs that failed.
	failed     []uint64
	checkpoint string
	members    []*member
	stopping   bool
	// brokenAt is when the first member of the current run ended.
	brokenAt  time.Time
	notBefore time.Time
	placedAt  time.Time
	workedAt  time.Time
	// leftAt is when the first start of the run left.
	leftAt time.Time
	// gatheredAt is when the last member of a run was seen at its worker: a
	// gang makes no progress before.
	gatheredAt time.Time
	// avoid are workers where a run failed.
	avoid map[primrosespar.Worker]bool
	// entitled units run within the guarantee of their account.
	entitled bool
	claims   map[*worker]primrosespar.Resources
	claimEnd time.Time
	// blockedAt is the count of freed at which the unit did not fit; it is
	// tried again once that has changed or at retryAt.
	blockedAt uint64
	retryAt   time.Time
	// reclaimAt is when room may be made for the unit again, mark the search for
	// victims that has seen it last.
	reclaimAt time.Time
	mark      uint64
	// kept is the rack that later work is kept off for the unit.
	kept      *rack
	keptUntil time.Time
	// holds says whether any rack could hold the unit, as of a roster.
	holds   bool
	holdsOf uint64
}

// newJob builds a job and the occurrence of one that does not repeat.
func (s *Scheduler) newJob(sub primrosespar.Submission, arrived, now time.Time) *job {
	j := &job{sub: sub, state: primrosespar.JobQueued, arrived: arrived}
	j.seen = now.Add(-max(0, s.opts.WallClock(now).Sub(arrived)))
	if sub.Repeat.Count == 0 {
		s.addOccurrence(j, 0, now)
	}
	return j
}

// addOccurrence makes the steps of one occurrence.
func (s *Scheduler) addOccurrence(j *job, index int, now time.Time) *occurrence {
	o := &occurrence{job: j, index: index, due: now}
	for i := range j.sub.Steps {
		o.steps = append(o.steps, newStep(o, i, now))
	}
	j.occurrences = append(j.occurrences, o)
	j.created = max(j.created, index+1)
	return o
}

// newStep makes the units of one step.
func newStep(o *occurrence, index int, now time.Time) *step {
	spec := &o.job.sub.Steps[index]
	st := &step{occ: o, index: index, spec: spec}
	if len(spec.After) == 0 {
		st.readySince = now
	}
	if spec.Gang {
		st.units = []*unit{{step: st, size: spec.Count}}
	} else {
		for i := range spec.Count {
			st.units = append(st.units, &unit{step: st, first: i, size: 1})
		}
	}
	st.left = len(st.units)
	return st
}

// restoreOccurrence rebuilds one occurrence from its record.
func (s *Scheduler) restoreOccurrence(j *job, p encoder.Occurrence, now time.Time) *occurrence {
	var o *occurrence
	for _, known := range j.occurrences {
		if known.index == p.Index {
			o = known
		}
	}
	if o == nil {
		o = s.addOccurrence(j, p.Index, now)
	}
	for i, units := range p.Steps {
		if i >= len(o.steps) {
			break
		}
		for k, saved := range units {
			if k < len(o.steps[i].units) {
				s.restoreUnit(o.steps[i].units[k], saved, now)
			}
		}
	}
	s.release(o, now)
	return o
}

// restoreUnit takes over the progress of one unit.
func (s *Scheduler) restoreUnit(u *unit, saved encoder.Unit, now time.Time) {
	u.phase, u.run, u.failed, u.checkpoint = saved.Phase, saved.Run, saved.Failed, saved.Checkpoint
	if u.run > 0 {
		u.step.occ.job.begun = true
	}
	if u.phase == encoder.Done {
		u.step.left--
	}
	if len(saved.Workers) == 0 {
		return
	}
	u.placedAt, u.workedAt = now, now
	for i, name := range saved.Workers {
		if name == "" || i >= u.size {
			continue
		}
		w := s.worker(name, now)
		m := &member{unit: u, index: u.first + i, run: u.run, worker: w, phase: restored, settled: now}
		s.attach(m)
	}
	if u.phase == encoder.Placed && len(u.members) == 0 {
		u.phase = encoder.Waiting
	}
}

// release sets the time from which the steps of an occurrence may start.
func (s *Scheduler) release(o *occurrence, now time.Time) {
	for _, st := range o.steps {
		if st.readySince.IsZero() && st.ready() {
			st.readySince = now
		}
	}
}

// ready reports whether the predecessors of the step are done.
func (st *step) ready() bool {
	for _, before := range st.spec.After {
		if before < len(st.occ.steps) && st.occ.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// done reports whether all steps are done.
func (o *occurrence) done() bool {
	for _, st := range o.steps {
		if st.left > 0 {
			return false
		}
	}
	return true
}

// busy reports whether any member is at a worker.
func (o *occurrence) busy() bool {
	for _, st := range o.steps {
		for _, u := range st.units {
			if len(u.members) > 0 {
				return true
			}
		}
	}
	return false
}

// unitDone notes that a unit is done and what follows from that.
func (s *Scheduler) unitDone(u *unit, now time.Time) {
	j := u.step.occ.job
	u.phase = encoder.Done
	u.step.left--
	s.touch(j)
	s.dropClaim(u)
	if j.state.Ended() {
		return
	}
	o := u.step.occ
	s.release(o, now)
	if !o.done() {
		return
	}
	j.finished++
	if j.finished >= max(1, j.sub.Repeat.Count) {
		s.end(j, primrosespar.JobCompleted, now)
	}
}

// due makes the occurrences whose time has come and drops those that ended.
func (s *Scheduler) due(j *job, now time.Time) {
	if j.sub.Repeat.Count == 0 {
		return
	}
	wall := s.opts.WallClock(now)
	for j.created < j.sub.Repeat.Count {
		at := j.sub.Repeat.Start.Add(time.Duration(j.created) * j.sub.Repeat.Every)
		if wall.Before(at) {
			break
		}
		s.addOccurrence(j, j.created, now)
		s.touch(j)
	}
	kept := j.occurrences[:0]
	for _, o := range j.occurrences {
		if !o.done() || o.busy() {
			kept = append(kept, o)
		}
	}
	j.occurrences = kept
}

// record returns what is stored of the job.
func (j *job) record() Record {
	p := encoder.Progress{State: j.state, Arrived: j.arrived.UnixMilli(), Finished: j.finished, Created: j.created}
	for _, o := range j.occurrences {
		if j.state.Ended() && !o.busy() {
			continue
		}
		p.Occurrences = append(p.Occurrences, o.progress())
	}
	r := Record{Job: j.sub.ID, Progress: p}
	if j.fresh {
		r.Submission = &j.sub
	}
	return r
}

// progress returns what is stored of an occurrence.
func (o *occurrence) progress() encoder.Occurrence {
	p := encoder.Occurrence{Index: o.index}
	for _, st := range o.steps {
		units := make([]encoder.Unit, 0, len(st.units))
		for _, u := range st.units {
			units = append(units, u.progress())
		}
		p.Steps = append(p.Steps, units)
	}
	return p
}

// progress returns what is stored of a unit.
func (u *unit) progress() encoder.Unit {
	p := encoder.Unit{Phase: u.phase, Run: u.run, Failed: slices.Clone(u.failed), Checkpoint: u.checkpoint}
	if u.phase == encoder.Done {
		p.Checkpoint = ""
	}
	if len(u.members) > 0 {
		p.Workers = make([]primrosespar.Worker, u.size)
		for _, m := range u.members {
			p.Workers[m.index-u.first] = m.worker.member.Worker
		}
	}
	return p
}

// terms returns how the job's queue is run now; a queue that was removed
// leaves its jobs the terms that they had last.
func (s *Scheduler) terms(j *job) *primrosespar.QueueTerms {
	if j.termsOf != s.catalog && s.catalog != nil {
		j.termsOf = s.catalog
		if t, ok := s.catalog.Terms(j.sub.Queue); ok {
			j.sub.Terms = t
		}
	}
	return &j.sub.Terms
}
