// Package scheduler decides where and when the tasks of submitted jobs run on
// the workers of a fleet. It does no I/O: the caller feeds it submissions,
// worker reports and results of orders, and carries out what it returns.
//
// # Usage
//
//	s := scheduler.New(scheduler.WithWallClock(wallClock))
//	s.SetCatalog(catalog)
//	s.SetWorkers(workers, now)
//	s.Submit(job, now)
//	changes := s.Plan(now)
//	// store changes.Records, then send changes.Starts and
//	// changes.Acknowledged; stops, throttles and advice requests may be sent
//	// at once
//	s.HandleStartResult(start, code, now)
//	s.HandleReport(worker, report, requestedAt, leaseExpiry, now)
//
// A start is sent only after the record that names its run and worker is
// stored, and an end is acknowledged only after it is stored. A task gets a
// second run only once the first has certainly ended: its worker reported the
// end, did not list the run, restarted or was replaced, or its lease expired.
package scheduler

import (
	"net/netip"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/admitter"
	"primrosespar.example/primrosespar/internal/fleet/assessor"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/ranker"
	"primrosespar.example/primrosespar/internal/fleet/reserver"
)

// Scheduler holds the scheduling state of one holder of the fleet lease. It is
// not safe for concurrent use.
type Scheduler struct {
	opts    Options
	catalog *primrosespar.Catalog
	jobs    map[primrosespar.JobID]*job
	// liveJobs are the jobs that have not ended, in order of arrival.
	liveJobs []*job
	workers  map[primrosespar.Worker]*worker
	// announced are the workers that the platform lists, ordered by name.
	announced []*worker
	pools     map[primrosespar.Service]*pool
	// replaced holds the workers whose address now belongs to another worker,
	// with the start time of the replaced lifetime, for as long as they are
	// still announced.
	replaced map[primrosespar.Worker]time.Time
	// crashedAt holds when a worker last crashed at an address, and lostContacts
	// the runs that may have ended with a worker.
	crashedAt    map[netip.AddrPort]time.Time
	lostContacts map[contact]lostContact
	// assessor estimates how surely the workers finish what they get.
	assessor *assessor.Assessor
	// claimants are the units that hold claims on freed capacity.
	claimants map[*unit]bool
	// capacityVersion counts the events after which a blocked unit may fit.
	capacityVersion uint64
	// urgentAccelerators are the accelerators that urgent work uses, by
	// account.
	urgentAccelerators map[primrosespar.Account]int
	// fillerRuns counts the runs of filler tasks.
	fillerRuns int
	// guaranteed is the sum of the accelerators that accounts are guaranteed.
	guaranteed int
	// closedPlaces says of the places of all workers whether they accept no work.
	// placesChanged is set once a worker or its place has changed.
	closedPlaces  map[primrosespar.Place]bool
	placesChanged bool
	// coldUntil is when the last worker is warm, zero if all are.
	coldUntil time.Time
	// reservedWorkers are the workers that racks were reserved with in this
	// plan.
	reservedWorkers []*worker
	// emptyRackFits caches whether shapes would fit into an empty rack. It is
	// dropped when the announced workers change.
	emptyRackFits map[emptyRackShape]bool
	// failedReclaims are the searches for victims that failed in this plan.
	failedReclaims map[reclaimSearch]bool
	// searchID numbers the searches for room, to mark what the current one has
	// visited.
	searchID uint64
	// firstPlanAt is when the first plan was made.
	firstPlanAt time.Time
	// checkedAt is when the runs were last checked.
	checkedAt time.Time
	// ranker orders the waiting steps. accountUse and queueUse are what accounts
	// and queues use relative to what they are entitled to.
	ranker     *ranker.Ranker
	accountUse map[primrosespar.Account]float64
	queueUse   map[primrosespar.Queue]float64
	// held are the accelerators that are kept in this plan for blocked gangs.
	held map[primrosespar.Service]int
	// admitter rejects jobs that can never run.
	admitter *admitter.Admitter
	// reserver decides what work that is not urgent leaves free.
	reserver *reserver.Reserver
	// ranked is the buffer of rankSteps.
	ranked        []rankedStep
	dirtyJobs     []*job
	pendingStarts []*member
	pendingStops  []*member
	acknowledged  map[primrosespar.Worker]Acknowledgement
	events        []Event
	// strayStops are stop orders for runs that are in no record.
	strayStops     []Order
	withdrawals    []Order
	adviceRequests []primrosespar.AdviceRequest
	throttles      []Throttle
	// adviceInFlight counts the advice requests in flight, of at most
	// maxAdviceRequests.
	adviceInFlight    int
	maxAdviceRequests int
	// adviceAsked counts the workers that the advice service answered about for
	// the first time, and adviceApproved those of them that it approved.
	adviceAsked    int
	adviceApproved int
}

// Event is a decision to be logged.
type Event struct {
	Kind   string
	Job    primrosespar.JobID
	Worker primrosespar.Worker
	Run    uint64
	Detail string
}

// Record is the state of a job to be stored.
type Record struct {
	Job primrosespar.JobID
	// Submission is set in the first record of a job only.
	Submission *primrosespar.Submission
	// Progress holds only the pieces that have changed since the last record.
	// PiecesOnly is set if nothing else of it has changed.
	Progress   encoder.Progress
	PiecesOnly bool
	// HeadFirst is set if the rest of the record must be stored before starts are
	// sent, HeadLast if the pieces must be stored before or together with it.
	HeadFirst bool
	HeadLast  bool
	// Dropped are pieces whose rows are to be deleted after that.
	Dropped []encoder.PieceKey
	// Priority is the priority of the job's queue; 0 comes first.
	Priority int
}

// Order is an order to start or stop a task on a worker.
type Order struct {
	Worker     primrosespar.Worker
	Run        primrosespar.Run
	Spec       string
	Checkpoint string
	Ticket     string
	// Gang is set if the task starts only together with the others of its step.
	Gang bool
}

// Throttle is an order to limit a run to a percentage of its full speed.
type Throttle struct {
	Worker  primrosespar.Worker
	Run     primrosespar.Run
	Percent int
}

// Acknowledgement names the ends of runs that a worker may forget: those up to
// Sequence, in its lifetime that began at StartedAt.
type Acknowledgement struct {
	StartedAt time.Time
	Sequence  uint64
}

// Changes are what the caller of Plan has to carry out.
type Changes struct {
	// Records must be stored before Starts and Acknowledged are sent.
	Records      []Record
	Starts       []Order
	Acknowledged map[primrosespar.Worker]Acknowledgement
	// Stops, Throttles and AdviceRequests may be sent at once. Withdrawals are
	// starts of earlier changes that must not be sent any more.
	Stops          []Order
	Withdrawals    []Order
	Throttles      []Throttle
	AdviceRequests []primrosespar.AdviceRequest
	Events         []Event
}

// New returns a Scheduler without jobs and workers.
func New(opts ...Option) *Scheduler {
	o := applyOptions(opts)
	return &Scheduler{
		opts:               o,
		ranker:             ranker.New(o.PriorityRatio),
		accountUse:         map[primrosespar.Account]float64{},
		queueUse:           map[primrosespar.Queue]float64{},
		held:               map[primrosespar.Service]int{},
		admitter:           admitter.New(),
		reserver:           reserver.New(o.Reserve),
		maxAdviceRequests:  1,
		jobs:               map[primrosespar.JobID]*job{},
		workers:            map[primrosespar.Worker]*worker{},
		pools:              map[primrosespar.Service]*pool{},
		emptyRackFits:      map[emptyRackShape]bool{},
		urgentAccelerators: map[primrosespar.Account]int{},
		acknowledged:       map[primrosespar.Worker]Acknowledgement{},
		crashedAt:          map[netip.AddrPort]time.Time{},
		lostContacts:       map[contact]lostContact{},
		assessor:           assessor.New(),

		claimants:    map[*unit]bool{},
		closedPlaces: map[primrosespar.Place]bool{},
		replaced:     map[primrosespar.Worker]time.Time{},
	}
}

// SetCatalog sets the catalog in force.
func (s *Scheduler) SetCatalog(catalog *primrosespar.Catalog) {
	s.catalog = catalog
	s.capacityVersion++
	s.guaranteed = 0
	for i := range catalog.Contracts {
		s.guaranteed += catalog.Contracts[i].Reserved
	}
	s.urgentAccelerators = map[primrosespar.Account]int{}
	for _, w := range s.workers {
		for _, m := range w.memberList {
			s.countUrgentAccelerators(m, 1)
		}
	}
}

// Submit adds a new job and reports whether it is new. A known job is left
// unchanged.
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

// Withdraw forgets a job whose record was never stored, so that it never runs.
// It returns false and leaves the job if it is not known or a start of one of
// its tasks was sent.
func (s *Scheduler) Withdraw(id primrosespar.JobID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	for _, u := range j.units() {
		if slices.ContainsFunc(u.members, (*member).mayRun) {
			return false
		}
	}
	s.remove(j)
	s.logEvent("job_withdrawn", j, nil, 0, "the store does not answer")
	return true
}

// Restore adds a stored job of an earlier holder. The state of its placed runs
// is unknown until their worker reports or its lease expires.
func (s *Scheduler) Restore(submission primrosespar.Submission, progress encoder.Progress, now time.Time) {
	j := s.newJob(submission, time.UnixMilli(progress.Arrived), now)
	j.state = progress.State
	j.finished, j.created = progress.Finished, max(j.created, progress.Created)
	j.started = j.finished > 0
	s.addJob(j)
	if j.state.Ended() {
		j.endedAt = now
		s.liveJobs = s.liveJobs[:len(s.liveJobs)-1]
	}
	for _, stored := range progress.Occurrences {
		s.restoreOccurrence(j, stored, now)
	}
	s.restorePieces(j, progress.Pieces, now)
	for _, o := range j.occurrences {
		s.releaseSteps(o, now)
	}
	if j.state.Ended() {
		// Its runs may still be active.
		for _, u := range j.units() {
			s.stopUnit(u, primrosespar.LossOther, "job ended")
		}
	}
	if j.split = progress.Split; j.split {
		j.headRecorded, j.recordedHead = true, progress
		j.recordedHead.Pieces = nil
		s.settleOccurrences(j, now)
		return
	}
	for _, o := range j.occurrences {
		// The last end of an occurrence is stored together with its count.
		o.counted = o.done()
	}
}

// Cancel cancels a job and reports whether the job is known. A job that has
// ended is left unchanged.
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

// State returns the state of a job. It returns false if the job is not known.
func (s *Scheduler) State(id primrosespar.JobID) (primrosespar.JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}

// Waiting returns the number of jobs of which no worker is known to have begun a
// task, by queue. After a change of holder, jobs count again until a worker
// lists a run or an end, if their records show no end and no checkpoint.
func (s *Scheduler) Waiting() map[primrosespar.Queue]int {
	waiting := map[primrosespar.Queue]int{}
	for _, j := range s.liveJobs {
		if !j.started {
			waiting[j.submission.Queue]++
		}
	}
	return waiting
}

// Forget drops jobs that ended before the given time and returns their IDs.
func (s *Scheduler) Forget(before time.Time) []primrosespar.JobID {
	var ids []primrosespar.JobID
	for id, j := range s.jobs {
		j.releaseEnded()
		if j.state.Ended() && j.endedAt.Before(before) && j.memberCount == 0 {
			delete(s.jobs, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// addJob adds a job to the known and live jobs.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.submission.ID] = j
	s.liveJobs = append(s.liveJobs, j)
}

// markDirty marks the job's record to be stored.
func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// markUnitDirty marks the unit and the record of its job to be stored.
func (s *Scheduler) markUnitDirty(u *unit) {
	u.touch()
	s.markDirty(u.step.occurrence.job)
}

// endJob sets the job's final state and stops its runs.
func (s *Scheduler) endJob(j *job, state primrosespar.JobState, now time.Time) {
	j.state = state
	j.endedAt = now
	cause := primrosespar.LossGivenUp
	if state == primrosespar.JobCancelled {
		cause = primrosespar.LossCancelled
	}
	for _, u := range j.units() {
		s.dropClaim(u)
		s.stopUnit(u, cause, "job "+string(state))
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

// logEvent adds a decision to the events that the next Plan returns.
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

// logWorkerEvent is logEvent for a worker that may not be known any more.
func (s *Scheduler) logWorkerEvent(kind string, worker primrosespar.Worker, detail string) {
	s.events = append(s.events, Event{Kind: kind, Worker: worker, Detail: detail})
}

// collectChanges returns the changes collected since the last call and resets
// them.
func (s *Scheduler) collectChanges() Changes {
	c := Changes{Acknowledged: s.acknowledged, Events: s.events, AdviceRequests: s.adviceRequests, Throttles: s.throttles}
	for _, j := range s.dirtyJobs {
		r := j.record(s.opts.InlineTasks)
		r.Priority = s.terms(j).Priority
		c.Records = append(c.Records, r)
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
	c.Withdrawals, s.withdrawals = s.withdrawals, nil
	s.dirtyJobs, s.pendingStarts, s.pendingStops, s.strayStops, s.adviceRequests, s.throttles, s.events = nil, nil, nil, nil, nil, nil, nil
	s.acknowledged = map[primrosespar.Worker]Acknowledgement{}
	return c
}
