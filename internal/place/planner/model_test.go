package planner_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
	"primrosespar.example/primrosespar/internal/place/planner"
)

const place = primrosespar.Place("tn-charguia")

// model drives one planner and keeps its own record of the jobs, placements and
// preemptions. It records all calls, so that repeating them yields a copy of
// the planner.
type model struct {
	options   []planner.Option
	planner   *planner.Planner
	calls     []func(*planner.Planner)
	workers   []primrosespar.WorkerEntry
	view      primrosespar.ContractView
	jobs      map[primrosespar.JobID]primrosespar.Job
	placed    map[primrosespar.JobID]primrosespar.Placement
	preempted map[primrosespar.JobID]bool
	now       time.Time
	jobCount  int
	// shortfallSeen is set once a plan was made with too few accelerators for
	// the guarantees. Claims may then be placed where they break up a block
	// whose worker is repaired later.
	shortfallSeen bool
	// unbound jobs have rows without bindings, as an older version commits
	// them. They occur only with omitBindings.
	omitBindings bool
	unbound      map[primrosespar.JobID]bool
}

// apply records the call and runs it on the planner.
func (m *model) apply(call func(*planner.Planner)) {
	m.calls = append(m.calls, call)
	call(m.planner)
}

func drawWorkers(t *rapid.T) []primrosespar.WorkerEntry {
	var out []primrosespar.WorkerEntry
	for rack := range rapid.IntRange(1, 3).Draw(t, "racks") {
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 2, 4, 8, 8, 6}), 1, 6).Draw(t, "sizes")
		for i, n := range sizes {
			out = append(out, primrosespar.WorkerEntry{
				Worker: primrosespar.Worker(fmt.Sprintf("w-%d-%d", rack, i)), Place: place,
				Rack: primrosespar.Rack(fmt.Sprintf("r-%d", rack)), Position: 2*i - rapid.IntRange(0, i).Draw(t, "gap"),
				Cores: 16, MemoryBytes: 64, Accelerators: n, Alive: true,
			})
		}
	}
	return out
}

// drawContracts draws contracts whose guaranteed blocks fit on the workers all
// at once.
func drawContracts(t *rapid.T, workers []primrosespar.WorkerEntry) primrosespar.ContractView {
	p := packer.New()
	p.SetWorkers(workers, nil)
	var demand packer.Counts
	view := primrosespar.ContractView{Revision: 1}
	for i := range 3 {
		c := primrosespar.Contract{Account: primrosespar.Account(fmt.Sprintf("account-%d", i)), Weight: 1 + i}
		c.Classes = []primrosespar.ClassTerms{{
			Class: "batch", Kind: primrosespar.KindGang, Preemptible: true, Concurrency: rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "concurrency"),
		}, {Class: "proof", Kind: primrosespar.KindGang}}
		guaranteed := 0
		for _, level := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 4).Draw(t, "guarantee") {
			more := demand
			more[level]++
			if packer.Fits(p.FullSupply(), more) < 0 {
				demand = more
				guaranteed += 1 << level
				c.Guarantees = append(c.Guarantees, primrosespar.Guarantee{Place: place, Block: 1 << level, Count: 1})
			}
		}
		c.MaxAccelerators = guaranteed + rapid.IntRange(0, p.Total()).Draw(t, "spare")
		view.Contracts = append(view.Contracts, primrosespar.VersionedContract{Contract: c, Version: 1})
	}
	return view
}

func newModel(t *rapid.T, options ...planner.Option) *model {
	m := &model{
		options: append(options, planner.WithPlace(place)),
		jobs:    map[primrosespar.JobID]primrosespar.Job{}, placed: map[primrosespar.JobID]primrosespar.Placement{},
		preempted: map[primrosespar.JobID]bool{}, unbound: map[primrosespar.JobID]bool{}, now: time.Unix(1_000_000, 0),
	}
	m.omitBindings = rapid.Bool().Draw(t, "rows without bindings")
	m.workers = drawWorkers(t)
	m.view = drawContracts(t, m.workers)
	m.planner = planner.New(m.options...)
	entries := slices.Clone(m.workers)
	m.apply(func(p *planner.Planner) { p.SetWorkers(entries) })
	m.apply(func(p *planner.Planner) { p.SetContracts(m.view) })
	return m
}

func (m *model) add(t *rapid.T) {
	m.jobCount++
	job := primrosespar.Job{
		ID: primrosespar.JobID(fmt.Sprintf("j-%d", m.jobCount)), Class: "batch", Place: place,
		Account: m.view.Contracts[rapid.IntRange(0, 2).Draw(t, "account")].Contract.Account,
		Shape: primrosespar.Shape{
			Members: rapid.IntRange(1, 4).Draw(t, "members"), Block: rapid.SampledFrom([]int{0, 1, 1, 2, 3, 4, 8}).Draw(t, "block"),
			OneRack: rapid.Bool().Draw(t, "one rack"), Cores: rapid.IntRange(0, 6).Draw(t, "cores"),
		},
		Claim: rapid.Bool().Draw(t, "claim"), Preemptible: rapid.Bool().Draw(t, "preemptible"),
		Deadline: time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Minute,
	}
	now := m.now
	var err error
	m.apply(func(p *planner.Planner) { err = p.Add(job, now) })
	if err == nil {
		m.jobs[job.ID] = job
		if m.omitBindings && rapid.Bool().Draw(t, "unbound") {
			m.unbound[job.ID] = true
		}
	}
}

func (m *model) plan(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
	now := m.now
	shortfall := m.hasShortfall()
	m.shortfallSeen = m.shortfallSeen || shortfall
	var plan primrosespar.Plan
	m.apply(func(p *planner.Planner) { plan = p.Plan(now) })
	for _, e := range plan.Preemptions {
		victim, ok := m.placed[e.Victim]
		require.True(t, ok && victim.Borrowed, "%s is preempted without holding borrowed cells", e.Victim)
		require.False(t, m.preempted[e.Victim], "%s is preempted twice", e.Victim)
		m.preempted[e.Victim] = true
	}
	for _, placement := range plan.Placements {
		job, ok := m.jobs[placement.Job]
		require.True(t, ok, "unknown job %s is placed", placement.Job)
		_, twice := m.placed[placement.Job]
		require.False(t, twice, "%s is placed twice", placement.Job)
		require.Equal(t, job.Preemptible && !job.Claim, placement.Borrowed)
		nonPreemptible := !job.Claim && !job.Preemptible && job.Shape.Block > 0
		require.False(t, nonPreemptible && shortfall, "%s is placed although guarantees fall short", placement.Job)
		m.placed[placement.Job] = placement
	}
}

// hasShortfall reports whether failed workers leave too little for the
// guarantees. It ignores a shortfall while all workers are alive, since the
// contracts then fit.
func (m *model) hasShortfall() bool {
	if !slices.ContainsFunc(m.workers, func(w primrosespar.WorkerEntry) bool { return !w.Alive }) {
		return false
	}
	for _, g := range m.planner.State().Guarantees {
		if g.Claimed+g.Claimable < g.Count {
			return true
		}
	}
	return false
}

func (m *model) drawJob(t *rapid.T) (primrosespar.JobID, bool) {
	if len(m.jobs) == 0 {
		return "", false
	}
	ids := make([]primrosespar.JobID, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "job"), true
}

func (m *model) remove(t *rapid.T) {
	if id, ok := m.drawJob(t); ok {
		now := m.now
		m.apply(func(p *planner.Planner) { p.Remove(id, primrosespar.GangDone, now) })
		m.forget(id)
		delete(m.jobs, id)
	}
}

func (m *model) requeue(t *rapid.T) {
	if id, ok := m.drawJob(t); ok {
		now := m.now
		m.apply(func(p *planner.Planner) { p.Requeue(id, now) })
		m.forget(id)
	}
}

func (m *model) forget(id primrosespar.JobID) {
	delete(m.placed, id)
	delete(m.preempted, id)
}

func (m *model) toggleWorker(t *rapid.T) {
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers[i].Alive = !m.workers[i].Alive
	entry := m.workers[i]
	m.apply(func(p *planner.Planner) { p.SetWorkers([]primrosespar.WorkerEntry{entry}) })
}

// takeover replaces the planner by a new one that knows only the committed
// gangs, as after a change of holder.
func (m *model) takeover(t *rapid.T) {
	before := m.planner.State().Guarantees
	m.planner = planner.New(m.options...)
	m.calls = nil
	workers, now := slices.Clone(m.workers), m.now
	m.apply(func(p *planner.Planner) { p.SetWorkers(workers) })
	m.apply(func(p *planner.Planner) { p.SetContracts(m.view) })
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		gang := primrosespar.Gang{Job: m.jobs[id], State: primrosespar.GangQueued}
		if placement, ok := m.placed[id]; ok {
			gang.State, gang.Slices, gang.Borrowed = primrosespar.GangRunning, placement.Slices, placement.Borrowed
			if !m.unbound[id] {
				gang.Bindings = placement.Bindings
			}
		}
		if m.preempted[id] {
			gang.State = primrosespar.GangStopping
		}
		m.apply(func(p *planner.Planner) { p.Restore(gang, now) })
	}
	if len(m.unbound) == 0 && !m.claimsQueued() {
		require.Equal(t, before, m.planner.State().Guarantees, "guarantees after a takeover")
	}
}

// claimsQueued reports whether a claim is not placed. One that waits for
// preemptions has reserved blocks, which a takeover gives up.
func (m *model) claimsQueued() bool {
	for id, job := range m.jobs {
		if _, ok := m.placed[id]; job.Claim && !ok {
			return true
		}
	}
	return false
}

// checkPlacements checks that no placements overlap and that they match the
// shapes of their jobs, the racks and the quotas.
func (m *model) checkPlacements(t *rapid.T) {
	cells := map[string]primrosespar.JobID{}
	held := map[primrosespar.Account]int{}
	for id, placement := range m.placed {
		job := m.jobs[id]
		sizes := map[int]int{}
		for _, s := range placement.Slices {
			sizes[s.Member] += s.Count
			for i := s.First; i < s.First+s.Count; i++ {
				cell := fmt.Sprintf("%s/%d", s.Worker, i)
				other, taken := cells[cell]
				require.False(t, taken, "%s and %s overlap on %s", id, other, cell)
				cells[cell] = id
			}
		}
		require.Len(t, sizes, job.Shape.Members, "%s is placed in part", id)
		for member, n := range sizes {
			require.Equal(t, job.Shape.Block, n, "member %d of %s", member, id)
		}
		m.checkRacks(t, job, placement)
		held[job.Account] += job.Shape.Accelerators()
	}
	for _, v := range m.view.Contracts {
		require.LessOrEqual(t, held[v.Contract.Account], v.Contract.MaxAccelerators, "quota of %s", v.Contract.Account)
	}
}

// checkRacks checks that each block lies within one rack.
func (m *model) checkRacks(t *rapid.T, job primrosespar.Job, placement primrosespar.Placement) {
	racks := map[int]primrosespar.Rack{}
	for _, s := range placement.Slices {
		i := slices.IndexFunc(m.workers, func(w primrosespar.WorkerEntry) bool { return w.Worker == s.Worker })
		unit := s.Member
		if job.Shape.OneRack && job.Shape.Block > 0 {
			unit = 0
		}
		if rack, seen := racks[unit]; seen {
			require.Equal(t, rack, m.workers[i].Rack, "%s spans racks", job.ID)
		}
		racks[unit] = m.workers[i].Rack
	}
}

// checkClaims claims every unclaimed block of every account at once, on a copy
// of the planner, and checks that all claims are placed without preempting
// claims or non-preemptible work.
func (m *model) checkClaims(t *rapid.T) {
	if m.shortfallSeen || m.hasShortfall() {
		return
	}
	replica := planner.New(m.options...)
	for _, call := range m.calls {
		call(replica)
	}
	// Jobs that wait may claim the same blocks, so they are removed first.
	for id := range m.jobs {
		if _, ok := m.placed[id]; !ok {
			replica.Remove(id, primrosespar.GangCancelled, m.now)
		}
	}
	waiting := map[primrosespar.JobID]bool{}
	stopped := map[primrosespar.JobID]bool{}
	for _, g := range replica.State().Guarantees {
		for i := range g.Count - g.Claimed {
			job := primrosespar.Job{
				ID: primrosespar.JobID(fmt.Sprintf("claim-%s-%d-%d", g.Account, g.Block, i)), Account: g.Account, Class: "proof",
				Place: place, Claim: true, Shape: primrosespar.Shape{Members: 1, Block: g.Block},
			}
			waiting[job.ID] = true
			require.NoError(t, replica.Add(job, m.now))
		}
	}
	for range 3 {
		plan := replica.Plan(m.now)
		for _, placement := range plan.Placements {
			delete(waiting, placement.Job)
		}
		for _, e := range plan.Preemptions {
			require.False(t, m.jobs[e.Victim].Claim || !m.jobs[e.Victim].Preemptible, "claims need %s to stop", e.Victim)
			stopped[e.Victim] = true
		}
		for id := range m.preempted {
			stopped[id] = true
		}
		for id := range stopped {
			replica.Remove(id, primrosespar.GangCancelled, m.now)
		}
	}
	require.Empty(t, waiting, "guaranteed blocks that can't be claimed")
}

// modelCheck returns a rapid check that runs the model, with or without failing
// workers.
func modelCheck(withFailures bool, options ...planner.Option) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t, options...)
		actions := map[string]func(*rapid.T){
			"add": m.add, "add another": m.add, "plan": m.plan, "remove": m.remove,
			"requeue": m.requeue, "toggle": m.toggleWorker, "takeover": m.takeover,
			"": func(t *rapid.T) {
				m.checkPlacements(t)
				m.checkClaims(t)
			},
		}
		if !withFailures {
			delete(actions, "toggle")
		}
		t.Repeat(actions)
	}
}

// TestGuaranteesStayClaimable guards against overlapping or partial placements,
// exceeded quotas and work that blocks the claim of a guaranteed block.
func TestGuaranteesStayClaimable(t *testing.T) {
	rapid.Check(t, modelCheck(true))
}

// TestGuaranteesOnHealthyWorkers guards against the same faults on workers that
// never fail, where every claim must be placed.
func TestGuaranteesOnHealthyWorkers(t *testing.T) {
	rapid.Check(t, modelCheck(false))
}

// failureRecorder records the failure of a check that is expected to fail.
type failureRecorder struct {
	testing.TB
	failure string
}

func (r *failureRecorder) Failed() bool { return strings.Contains(r.failure, "failed after") }
func (r *failureRecorder) FailNow()     { panic(r) }
func (r *failureRecorder) Log(a ...any) { r.failure += fmt.Sprintln(a...) }
func (r *failureRecorder) Logf(format string, args ...any) {
	r.failure += fmt.Sprintf(format, args...) + "\n"
}

func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.Logf(format, args...)
}

// TestModelDetectsMissingGuaranteeCheck guards against a model test that passes
// even if the planner does not keep guaranteed blocks free: it must fail with
// that check switched off.
func TestModelDetectsMissingGuaranteeCheck(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "1s", "rapid.seed": "1", "rapid.checks": "2000"} {
		old := flag.Lookup(name).Value.String()
		require.NoError(t, flag.Set(name, value))
		defer func() { require.NoError(t, flag.Set(name, old)) }()
	}
	recorder := &failureRecorder{TB: t}
	func() {
		defer func() { _ = recover() }()
		rapid.Check(recorder, modelCheck(false, planner.WithoutGuaranteeCheck()))
	}()
	require.True(t, recorder.Failed(), "the model test passes without the guarantee check")
	require.Contains(t, recorder.failure, "guaranteed blocks that can't be claimed")
}
