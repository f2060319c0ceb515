// Package scheduler decides where and when the tasks of submitted jobs run on
// the workers of a fleet. It does no input or output: the caller feeds it
// submissions, worker reports and results of orders, and carries out what it
// returns.
//
// # Usage
//
//	s := scheduler.New(scheduler.WithWallClock(wall))
//	s.SetCatalog(catalog)
//	s.SetWorkers(workers, now)
//	s.Submit(job, now)
//	changes := s.Plan(now)
//	// store changes.Records; then send changes.Starts and note changes.Acknowledged
//	// stops, throttles and advice requests may be sent at once
//	s.Started(start, code, now)
//	s.Report(worker, report, asked, lapse, now)
//
// A start is sent only after the record that names its run and worker is
// stored, and an end is acknowledged only after it is stored. A task gets a
// second run only once the first has surely ended: its worker reported the
// end, denied the run, started anew, or its lease has lapsed.
package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Scheduler is the state of one holder. It is not safe for concurrent use.
type Scheduler struct {
	opts    Options
	catalog *primrosespar.Catalog
	jobs    map[primrosespar.JobID]*job
	// liveJobs are the jobs that have not ended, in order of arrival.
	liveJobs []*job
	workers  map[primrosespar.Worker]*worker
	// announced are the workers that announce themselves, in order of name.
	announced []*worker
	racks     map[primrosespar.Service][]*rack
	// rosterVersion counts the rosters that were taken.
	rosterVersion uint64
	// replaced are workers whose address another worker answers at, with the
	// start of the lifetime that was replaced, while they are still announced.
	replaced map[primrosespar.Worker]time.Time
	// claimants are the units that room is kept for.
	claimants map[*unit]bool
	// capacityVersion counts the events by which a unit may fit that did not before.
	capacityVersion uint64
	// urgentAccelerators are the accelerators in use by urgent work, by account.
	urgentAccelerators map[primrosespar.Account]int
	// fillerRuns counts the runs of tasks that fill workers.
	fillerRuns int
	// searchID numbers the searches for room.
	searchID uint64
	// checkedAt is when the runs were last watched over.
	checkedAt     time.Time
	dirtyJobs     []*job
	pendingStarts []*member
	pendingStops  []*member
	acknowledged  map[primrosespar.Worker]uint64
	events        []Event
	// strayStops are stops of runs that no record names.
	strayStops     []Order
	adviceRequests []primrosespar.AdviceRequest
	throttles      []Throttle
	// adviceInFlight counts the questions that are out, of at most askers.
	adviceInFlight    int
	maxAdviceRequests int
	// adviceAsked and granted count the workers that the advice service was asked
	// about for the first time, and those that it approved.
	adviceAsked    int
	adviceApproved int
}

// rackKey names a rack of one service and place.
type rackKey struct {
	service primrosespar.Service
	place   primrosespar.Place
	rack    primrosespar.Rack
}

// rack is the workers of one rack, by name.
type rack struct {
	key     rackKey
	workers []*worker
	// free are the accelerators that are not in use, as of the current plan, of
	// total.
	free  int
	total int
}

// Event is one decision for the log.
type Event struct {
	Kind   string
	Job    primrosespar.JobID
	Worker primrosespar.Worker
	Run    uint64
	Detail string
}

// Record is what has to be stored of one job.
type Record struct {
	Job primrosespar.JobID
	// Submission is set once, when the job is new.
	Submission *primrosespar.Submission
	Progress   encoder.Progress
}

// Order is a start or stop of one task at one worker.
type Order struct {
	Worker     primrosespar.Worker
	Run        primrosespar.Run
	Spec       string
	Checkpoint string
	Ticket     string
}

// Throttle is an order to let a run work at a share of its speed.
type Throttle struct {
	Worker  primrosespar.Worker
	Run     primrosespar.Run
	Percent int
}

// Changes are what a caller of Plan has to carry out.
type Changes struct {
	// Records are stored before Starts are sent and Acknowledged is sent.
	Records      []Record
	Starts       []Order
	Acknowledged map[primrosespar.Worker]uint64
	// Stops, Throttles and AdviceRequests may be sent at once.
	Stops          []Order
	Throttles      []Throttle
	AdviceRequests []primrosespar.AdviceRequest
	Events         []Event
}

// New returns a Scheduler without jobs and workers.
func New(opts ...Option) *Scheduler {
	return &Scheduler{
		opts:               applyOptions(opts),
		maxAdviceRequests:  1,
		jobs:               map[primrosespar.JobID]*job{},
		workers:            map[primrosespar.Worker]*worker{},
		racks:              map[primrosespar.Service][]*rack{},
		urgentAccelerators: map[primrosespar.Account]int{},
		acknowledged:       map[primrosespar.Worker]uint64{},

		claimants: map[*unit]bool{},
		replaced:  map[primrosespar.Worker]time.Time{},
	}
}

// SetCatalog takes the catalog in force.
func (s *Scheduler) SetCatalog(catalog *primrosespar.Catalog) {
	s.catalog = catalog
	s.capacityVersion++
	s.urgentAccelerators = map[primrosespar.Account]int{}
	for _, w := range s.workers {
		for _, m := range w.memberList {
			s.countUrgentAccelerators(m, 1)
		}
	}
}

// Submit takes a new job; one that is known is left as it is. It reports
// whether the job is new.
func (s *Scheduler) Submit(submission primrosespar.Submission, now time.Time) bool {
	if s.jobs[submission.ID] != nil {
		return false
	}
	j := s.newJob(submission, s.opts.WallClock(now), now)
	j.submissionUnsaved = true
	s.addJob(j)
	s.markDirty(j)
	s.logEvent("job_accepted", j, nil, 0, string(submission.Queue))
	return true
}

// Restore takes a stored job over from an earlier holder. Runs that were
// placed are unsettled until their worker reports or its lease lapses.
func (s *Scheduler) Restore(submission primrosespar.Submission, progress encoder.Progress, now time.Time) {
	j := s.newJob(submission, time.UnixMilli(progress.Arrived), now)
	j.state = progress.State
	j.finished, j.created = progress.Finished, max(j.created, progress.Created)
	s.addJob(j)
	if j.state.Ended() {
		j.endedAt = now
		s.liveJobs = s.liveJobs[:len(s.liveJobs)-1]
		s.restoreEnded(j, progress, now)
		return
	}
	for _, stored := range progress.Occurrences {
		s.restoreOccurrence(j, stored, now)
	}
}

// restoreEnded keeps the runs of an ended job that may still be at work, so
// that they are stopped.
func (s *Scheduler) restoreEnded(j *job, progress encoder.Progress, now time.Time) {
	for _, stored := range progress.Occurrences {
		o := s.restoreOccurrence(j, stored, now)
		for _, st := range o.steps {
			for _, u := range st.units {
				s.stopUnit(u, "job ended")
			}
		}
	}
}

// Cancel ends a job; it reports false if the job is not known. A job that has
// ended stays as it is.
func (s *Scheduler) Cancel(id primrosespar.JobID, now time.Time) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Ended() {
		s.endJob(j, primrosespar.JobCancelled, now)
	}
	return true
}

// State returns the state of a job.
func (s *Scheduler) State(id primrosespar.JobID) (primrosespar.JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}

// Waiting returns the jobs without a start, by queue.
func (s *Scheduler) Waiting() map[primrosespar.Queue]int {
	waiting := map[primrosespar.Queue]int{}
	for _, j := range s.liveJobs {
		if !j.started {
			waiting[j.submission.Queue]++
		}
	}
	return waiting
}

// Forget drops jobs that ended before the time and returns their ids.
func (s *Scheduler) Forget(before time.Time) []primrosespar.JobID {
	var ids []primrosespar.JobID
	for id, j := range s.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.memberCount == 0 {
			delete(s.jobs, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// addJob enters a job into the tables.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.submission.ID] = j
	s.liveJobs = append(s.liveJobs, j)
}

// markDirty marks the job's record as changed.
func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// endJob gives the job its last state and stops what runs of it.
func (s *Scheduler) endJob(j *job, state primrosespar.JobState, now time.Time) {
	j.state = state
	j.endedAt = now
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, u := range st.units {
				s.dropClaim(u)
				s.stopUnit(u, "job "+string(state))
			}
		}
	}
	for i, other := range s.liveJobs {
		if other == j {
			s.liveJobs = append(s.liveJobs[:i], s.liveJobs[i+1:]...)
			break
		}
	}
	s.markDirty(j)
	s.logEvent("job_"+string(state), j, nil, 0, "")
}

// logEvent keeps a decision until the next Plan.
func (s *Scheduler) logEvent(kind string, j *job, w *worker, run uint64, detail string) {
	e := Event{Kind: kind, Run: run, Detail: detail}
	if j != nil {
		e.Job = j.submission.ID
	}
	if w != nil {
		e.Worker = w.info.Worker
	}
	s.events = append(s.events, e)
}

// collectChanges empties what has gathered since the last call.
func (s *Scheduler) collectChanges() Changes {
	c := Changes{Acknowledged: s.acknowledged, Events: s.events, AdviceRequests: s.adviceRequests, Throttles: s.throttles}
	for _, j := range s.dirtyJobs {
		c.Records = append(c.Records, j.record())
		j.dirty = false
		j.submissionUnsaved = false
	}
	for _, m := range s.pendingStarts {
		c.Starts = append(c.Starts, m.order())
	}
	for _, m := range s.pendingStops {
		c.Stops = append(c.Stops, m.order())
	}
	c.Stops = append(c.Stops, s.strayStops...)
	s.dirtyJobs, s.pendingStarts, s.pendingStops, s.strayStops, s.adviceRequests, s.throttles, s.events = nil, nil, nil, nil, nil, nil, nil
	s.acknowledged = map[primrosespar.Worker]uint64{}
	return c
}
