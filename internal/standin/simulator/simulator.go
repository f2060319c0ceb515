// Package simulator plays jobs against the fleet scheduler in virtual time and
// measures how they are served, so that policies can be compared over seeds.
//
// # Usage
//
//	s := simulator.New(simulator.WithWorkers(350), simulator.WithSeed(7))
//	result := s.Run(30*time.Second)
//
// Workers answer at once and keep their promises; what is compared is the
// order and the place of the work alone.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Shape of the fleet and of its load.
const (
	service      = "pool"
	rackWorkers  = 8
	accelerators = 8
	// jobsPerWorker is the rate of jobs a second for each worker, as on the
	// users' first installations: 3.4 jobs a second on 48 workers.
	jobsPerWorker = 3.4 / 48
	// guaranteedShare of the accelerators is guaranteed to the accounts.
	guaranteedShare = 0.62
	accounts        = 4
	// failureShare of the runs fail.
	failureShare = 0.02
	// stopTime is how long a stop takes, lookTime the time between two reports
	// of a worker without an end.
	stopTime = 300 * time.Millisecond
	lookTime = 2 * time.Second
	// step is the virtual time between two plans.
	step = 20 * time.Millisecond
	// lateFactor times the objective is the last time at which a job is worth
	// anything.
	lateFactor = 3
	// acceleratorCores is the worth of an accelerator in cores when lost work is
	// counted.
	acceleratorCores = 8
)

// Options configure a Simulator.
type Options struct {
	Workers int
	Seed    uint64
	// Load is a factor on the rate of jobs.
	Load   float64
	Policy Policy
}

// Option changes Options.
type Option func(*Options)

// WithWorkers sets the number of workers.
func WithWorkers(n int) Option { return func(o *Options) { o.Workers = n } }

// WithSeed sets the seed of the jobs.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithLoad sets a factor on the rate of jobs.
func WithLoad(load float64) Option { return func(o *Options) { o.Load = load } }

// WithPolicy sets how the jobs are served.
func WithPolicy(p Policy) Option { return func(o *Options) { o.Policy = p } }

// run is a run at a worker.
type run struct {
	order scheduler.Order
	began time.Time
	end   time.Time
	how   primrosespar.RunEnd
	// need are the accelerators in use.
	need int
}

// worker is what one worker holds.
type worker struct {
	member   primrosespar.WorkerInfo
	runs     []run
	sequence uint64
	lookAt   time.Time
}

// Simulator plays one seed. It is used once.
type Simulator struct {
	opts   Options
	random *rand.Rand
	// faults draws the runs that fail, so that all policies get the same jobs.
	faults  *rand.Rand
	core    *scheduler.Scheduler
	catalog *primrosespar.Catalog
	now     time.Time
	began   time.Time
	workers map[primrosespar.Worker]*worker
	order   []*worker
	jobs    map[primrosespar.JobID]*job
	meter   meter
}

// New returns a Simulator whose workers have answered a look.
func New(opts ...Option) *Simulator {
	o := Options{Workers: 48, Seed: 1, Load: 1, Policy: Policies()[0]}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Simulator{
		opts: o, random: rand.New(rand.NewPCG(o.Seed, 1)), faults: rand.New(rand.NewPCG(o.Seed, 2)), now: time.Unix(1_000_000, 0),
		core:    scheduler.New(o.Policy.Options...),
		workers: map[primrosespar.Worker]*worker{}, jobs: map[primrosespar.JobID]*job{},
	}
	s.began = s.now
	s.catalog = newCatalog(o)
	s.core.SetCatalog(s.catalog)
	var members []primrosespar.WorkerInfo
	for i := range o.Workers {
		m := primrosespar.WorkerInfo{
			Worker: primrosespar.Worker(fmt.Sprintf("w%04d", i)), Service: service, StartedAt: s.now, Place: "east",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Rack:     primrosespar.Rack(fmt.Sprintf("r%d", i/rackWorkers)),
			Capacity: primrosespar.Resources{Millicores: 64_000, MemoryMiB: 131_072, Accelerators: accelerators},
		}
		w := &worker{member: m, lookAt: s.now.Add(time.Duration(s.random.Int64N(int64(lookTime))))}
		members, s.order = append(members, m), append(s.order, w)
		s.workers[m.Worker] = w
	}
	s.core.SetWorkers(members, s.now)
	for _, w := range s.order {
		s.report(w, nil)
	}
	return s
}

// newCatalog returns the contracts and queues under the policy.
func newCatalog(o Options) *primrosespar.Catalog {
	c := &primrosespar.Catalog{Version: 1}
	for i, k := range kinds() {
		c.Queues = append(c.Queues, primrosespar.QueueTerms{
			Queue: k.queue, Service: service, Priority: i, Attempts: 3, Slack: k.slack, Target: k.target,
		})
	}
	reserved := int(guaranteedShare*float64(o.Workers*accelerators)) / accounts
	for i := range accounts {
		c.Contracts = append(c.Contracts, primrosespar.Contract{Account: account(i), Reserved: reserved})
	}
	if o.Policy.Catalog != nil {
		o.Policy.Catalog(c)
	}
	return c
}

// account returns the name of an account.
func account(i int) primrosespar.Account { return primrosespar.Account(fmt.Sprintf("account-%d", i)) }

// Run plays jobs for the time and then waits as long for those that are open.
func (s *Simulator) Run(d time.Duration) Result {
	next := 0.0
	for s.now.Sub(s.began) < 2*d {
		elapsed := s.now.Sub(s.began)
		for ; elapsed < d && next <= elapsed.Seconds(); next += s.random.ExpFloat64() / (jobsPerWorker * s.opts.Load * float64(s.opts.Workers)) {
			s.submit()
		}
		for _, w := range s.order {
			s.turn(w)
		}
		s.carryOut(s.core.Plan(s.now))
		if elapsed < d {
			s.meter.sample(s.order)
		}
		s.now = s.now.Add(step)
	}
	return s.meter.result(s.jobs, s.opts)
}

// turn ends what is over at the worker and reports, if it is time.
func (s *Simulator) turn(w *worker) {
	var ended []primrosespar.EndedRun
	left := w.runs[:0]
	for _, r := range w.runs {
		if s.now.Before(r.end) {
			left = append(left, r)
			continue
		}
		w.sequence++
		ended = append(ended, primrosespar.EndedRun{Sequence: w.sequence, Run: r.order.Run, End: r.how})
		if r.how != primrosespar.EndDone {
			s.meter.lose(s.jobs[r.order.Run.Task.Job], s.now.Sub(r.began))
		}
	}
	w.runs = left
	if len(ended) > 0 || !s.now.Before(w.lookAt) && len(w.runs) > 0 {
		s.report(w, ended)
	}
}

// report lets the worker list what it holds.
func (s *Simulator) report(w *worker, ended []primrosespar.EndedRun) {
	w.lookAt = s.now.Add(lookTime)
	var active []primrosespar.ActiveRun
	for _, r := range w.runs {
		share := float64(s.now.Sub(r.began)) / float64(r.end.Sub(r.began))
		active = append(active, primrosespar.ActiveRun{Run: r.order.Run, Percent: 100 * share})
	}
	s.core.HandleReport(w.member.Worker, primrosespar.WorkerReport{StartedAt: w.member.StartedAt, Active: active, Ended: ended},
		s.now, s.now.Add(time.Minute), s.now)
}

// carryOut answers the orders of a plan.
func (s *Simulator) carryOut(changes scheduler.Changes) {
	for _, r := range changes.Records {
		if j := s.jobs[r.Job]; r.Progress.State == primrosespar.JobCompleted && j.doneAt.IsZero() {
			j.doneAt = s.now
		}
	}
	for _, o := range changes.Starts {
		if !s.core.ShouldSend(o, s.now) {
			continue
		}
		s.core.HandleStartResult(o, primrosespar.CodeOK, s.now)
		s.start(o)
	}
	for _, o := range changes.Stops {
		s.core.HandleStopResult(o, primrosespar.CodeOK, s.now)
		w := s.workers[o.Worker]
		for i := range w.runs {
			if w.runs[i].order.Run == o.Run && s.now.Add(stopTime).Before(w.runs[i].end) {
				w.runs[i].end, w.runs[i].how = s.now.Add(stopTime), primrosespar.EndStopped
			}
		}
	}
}

// start begins a run.
func (s *Simulator) start(o scheduler.Order) {
	j := s.jobs[o.Run.Task.Job]
	if j.startedAt.IsZero() {
		j.startedAt = s.now
	}
	r := run{order: o, began: s.now, end: s.now.Add(j.work), how: primrosespar.EndDone, need: j.sub.Steps[0].Need.Accelerators}
	if s.faults.Float64() < failureShare {
		r.how = primrosespar.EndFailed
	}
	w := s.workers[o.Worker]
	w.runs = append(w.runs, r)
}
