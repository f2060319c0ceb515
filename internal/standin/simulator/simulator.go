// Package simulator runs the fleet scheduler on random jobs in virtual time and
// measures how long the jobs wait and what they earn, so that policies can be
// compared over several seeds.
//
// # Usage
//
//	s := simulator.New(simulator.WithWorkers(350), simulator.WithSeed(7))
//	result := s.Run(30*time.Second)
//
// Workers accept every order without delay, so that results depend only on the
// random jobs and failures and on when and where the scheduler starts and stops
// tasks.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Parameters of the simulated fleet and its load.
const (
	service               = "pool"
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	// jobsPerWorker is the number of jobs per second and worker. The users'
	// first installations have 3.4 jobs per second on 48 workers.
	jobsPerWorker = 3.4 / 48
	// guaranteedShare is the share of the accelerators that the contracts
	// reserve for the accounts.
	guaranteedShare = 0.62
	accountCount    = 4
	// failureShare is the share of the runs that fail.
	failureShare = 0.02
	// stopDelay is the time from a stop order to the end of the run.
	stopDelay = 300 * time.Millisecond
	// reportInterval is the time between two reports of a worker with active
	// runs if none of them ends.
	reportInterval = 2 * time.Second
	// planInterval is the virtual time between two plans.
	planInterval = 20 * time.Millisecond
	// lateFactor times the objective is the time after which a job earns
	// nothing.
	lateFactor = 3
	// acceleratorCores is the number of cores that an accelerator counts for in
	// lost work.
	acceleratorCores = 8
)

// Options configure a Simulator.
type Options struct {
	Workers int
	Seed    uint64
	// Load multiplies the rate of jobs.
	Load   float64
	Policy Policy
}

// Option changes Options.
type Option func(*Options)

// WithWorkers sets the number of workers.
func WithWorkers(n int) Option { return func(o *Options) { o.Workers = n } }

// WithSeed sets the seed of the random jobs and failures.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithLoad sets the factor that multiplies the rate of jobs.
func WithLoad(load float64) Option { return func(o *Options) { o.Load = load } }

// WithPolicy sets the policy of the scheduler.
func WithPolicy(p Policy) Option { return func(o *Options) { o.Policy = p } }

// run is the run of a task on a worker.
type run struct {
	order     scheduler.Order
	startedAt time.Time
	endsAt    time.Time
	endKind   primrosespar.RunEnd
	// accelerators is the number of accelerators in use.
	accelerators int
}

// worker is a simulated worker.
type worker struct {
	info primrosespar.WorkerInfo
	runs []run
	// sequence is the number of the last ended run.
	sequence uint64
	// reportAt is when the next report is due if runs are active and none ends
	// before.
	reportAt time.Time
}

// Simulator runs one simulation. It cannot be reused.
type Simulator struct {
	options Options
	// random chooses everything except the runs that fail.
	random *rand.Rand
	// failureRandom chooses the runs that fail. It is separate from random so
	// that the jobs are the same under all policies.
	failureRandom *rand.Rand
	scheduler     *scheduler.Scheduler
	catalog       *primrosespar.Catalog
	now           time.Time
	startedAt     time.Time
	workers       map[primrosespar.Worker]*worker
	// workerList holds the workers in the order of their names.
	workerList []*worker
	jobs       map[primrosespar.JobID]*job
	metrics    metrics
}

// New returns a Simulator whose workers have reported once to the scheduler.
func New(opts ...Option) *Simulator {
	options := Options{Workers: 48, Seed: 1, Load: 1, Policy: Policies()[0]}
	for _, opt := range opts {
		opt(&options)
	}
	s := &Simulator{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), failureRandom: rand.New(rand.NewPCG(options.Seed, 2)), now: time.Unix(1_000_000, 0),
		scheduler: scheduler.New(options.Policy.Options...),
		workers:   map[primrosespar.Worker]*worker{}, jobs: map[primrosespar.JobID]*job{},
	}
	s.startedAt = s.now
	s.catalog = newCatalog(options)
	s.scheduler.SetCatalog(s.catalog)
	var infos []primrosespar.WorkerInfo
	for i := range options.Workers {
		info := primrosespar.WorkerInfo{
			Worker: primrosespar.Worker(fmt.Sprintf("w%04d", i)), Service: service, StartedAt: s.now, Place: "east",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Rack:     primrosespar.Rack(fmt.Sprintf("r%d", i/workersPerRack)),
			Capacity: primrosespar.Resources{Millicores: 64_000, MemoryMiB: 131_072, Accelerators: acceleratorsPerWorker},
		}
		w := &worker{info: info, reportAt: s.now.Add(time.Duration(s.random.Int64N(int64(reportInterval))))}
		infos, s.workerList = append(infos, info), append(s.workerList, w)
		s.workers[info.Worker] = w
	}
	s.scheduler.SetWorkers(infos, s.now)
	for _, w := range s.workerList {
		s.report(w, nil)
	}
	return s
}

// newCatalog returns the contracts and queues, changed by the policy.
func newCatalog(options Options) *primrosespar.Catalog {
	catalog := &primrosespar.Catalog{Version: 1}
	for i, kind := range jobKinds() {
		catalog.Queues = append(catalog.Queues, primrosespar.QueueTerms{
			Queue: kind.queue, Service: service, Priority: i, Attempts: 3, Slack: kind.slack, Target: kind.target,
		})
	}
	reserved := int(guaranteedShare*float64(options.Workers*acceleratorsPerWorker)) / accountCount
	for i := range accountCount {
		catalog.Contracts = append(catalog.Contracts, primrosespar.Contract{Account: accountName(i), Reserved: reserved})
	}
	if options.Policy.Catalog != nil {
		options.Policy.Catalog(catalog)
	}
	return catalog
}

// accountName returns the name of the account with the given index.
func accountName(i int) primrosespar.Account {
	return primrosespar.Account(fmt.Sprintf("account-%d", i))
}

// Run submits jobs for the duration d and then continues for another d, so that
// open jobs can finish.
func (s *Simulator) Run(d time.Duration) Result {
	nextArrival := 0.0
	for s.now.Sub(s.startedAt) < 2*d {
		elapsed := s.now.Sub(s.startedAt)
		for ; elapsed < d && nextArrival <= elapsed.Seconds(); nextArrival += s.random.ExpFloat64() / (jobsPerWorker * s.options.Load * float64(s.options.Workers)) {
			s.submit()
		}
		for _, w := range s.workerList {
			s.advanceWorker(w)
		}
		s.applyChanges(s.scheduler.Plan(s.now))
		if elapsed < d {
			s.metrics.sample(s.workerList)
		}
		s.now = s.now.Add(planInterval)
	}
	return s.metrics.result(s.jobs, s.options)
}

// advanceWorker ends the runs of the worker that are over. It sends a report to
// the scheduler if a run ended, or if the report interval has passed while runs
// are active.
func (s *Simulator) advanceWorker(w *worker) {
	var ended []primrosespar.EndedRun
	remaining := w.runs[:0]
	for _, r := range w.runs {
		if s.now.Before(r.endsAt) {
			remaining = append(remaining, r)
			continue
		}
		w.sequence++
		ended = append(ended, primrosespar.EndedRun{Sequence: w.sequence, Run: r.order.Run, End: r.endKind})
		if r.endKind != primrosespar.EndDone {
			s.metrics.addLostWork(s.jobs[r.order.Run.Task.Job], s.now.Sub(r.startedAt))
		}
	}
	w.runs = remaining
	if len(ended) > 0 || !s.now.Before(w.reportAt) && len(w.runs) > 0 {
		s.report(w, ended)
	}
}

// report reports the active and the ended runs of the worker to the scheduler.
func (s *Simulator) report(w *worker, ended []primrosespar.EndedRun) {
	w.reportAt = s.now.Add(reportInterval)
	var active []primrosespar.ActiveRun
	for _, r := range w.runs {
		progress := float64(s.now.Sub(r.startedAt)) / float64(r.endsAt.Sub(r.startedAt))
		active = append(active, primrosespar.ActiveRun{Run: r.order.Run, Percent: 100 * progress})
	}
	s.scheduler.HandleReport(w.info.Worker, primrosespar.WorkerReport{StartedAt: w.info.StartedAt, Active: active, Ended: ended, Complete: true},
		s.now, s.now.Add(time.Minute), s.now)
}

// applyChanges executes the orders of a plan and records completed jobs.
func (s *Simulator) applyChanges(changes scheduler.Changes) {
	for _, r := range changes.Records {
		if j := s.jobs[r.Job]; r.Progress.State == primrosespar.JobCompleted && j.completedAt.IsZero() {
			j.completedAt = s.now
		}
	}
	for _, o := range changes.Starts {
		if !s.scheduler.ShouldSend(o, s.now) {
			continue
		}
		s.scheduler.HandleStartResult(o, primrosespar.CodeOK, s.now)
		s.start(o)
	}
	for _, o := range changes.Stops {
		s.scheduler.HandleStopResult(o, primrosespar.CodeOK, s.now)
		w := s.workers[o.Worker]
		for i := range w.runs {
			if w.runs[i].order.Run == o.Run && s.now.Add(stopDelay).Before(w.runs[i].endsAt) {
				w.runs[i].endsAt, w.runs[i].endKind = s.now.Add(stopDelay), primrosespar.EndStopped
			}
		}
	}
}

// start starts a run on the worker of the order.
func (s *Simulator) start(o scheduler.Order) {
	j := s.jobs[o.Run.Task.Job]
	if j.startedAt.IsZero() {
		j.startedAt = s.now
	}
	r := run{order: o, startedAt: s.now, endsAt: s.now.Add(j.runTime), endKind: primrosespar.EndDone, accelerators: j.submission.Steps[0].Need.Accelerators}
	if s.failureRandom.Float64() < failureShare {
		r.endKind = primrosespar.EndFailed
	}
	w := s.workers[o.Worker]
	w.runs = append(w.runs, r)
}
