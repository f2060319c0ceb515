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

// model drives one planner and keeps its own picture of the accelerators.
// All calls are logged, so that a copy is made by calling them again.
type model struct {
	options  []planner.Option
	planner  *planner.Planner
	calls    []func(*planner.Planner)
	workers  []primrosespar.WorkerEntry
	view     primrosespar.ContractView
	jobs     map[primrosespar.JobID]primrosespar.Job
	placed   map[primrosespar.JobID]primrosespar.Placement
	evicted  map[primrosespar.JobID]bool
	now      time.Time
	jobCount int
	// shortfallSeen is set once a plan was made with too few accelerators for the
	// guarantees; claims may then stand where they block a repaired block.
	shortfallSeen bool
	// unbound jobs have rows of a version that commits no bindings.
	omitBindings bool
	unbound      map[primrosespar.JobID]bool
}

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

// drawContracts draws guarantees that pack into the workers together.
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
			if packer.Fits(p.Whole(), more) < 0 {
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
		evicted: map[primrosespar.JobID]bool{}, unbound: map[primrosespar.JobID]bool{}, now: time.Unix(1_000_000, 0),
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
	short := m.hasShortfall()
	m.shortfallSeen = m.shortfallSeen || short
	var plan primrosespar.Plan
	m.apply(func(p *planner.Planner) { plan = p.Plan(now) })
	for _, e := range plan.Preemptions {
		victim, ok := m.placed[e.Victim]
		require.True(t, ok && victim.Borrowed, "eviction of %s, which holds no borrowed cells", e.Victim)
		require.False(t, m.evicted[e.Victim], "%s is evicted twice", e.Victim)
		m.evicted[e.Victim] = true
	}
	for _, placement := range plan.Placements {
		job, ok := m.jobs[placement.Job]
		require.True(t, ok, "placement of unknown %s", placement.Job)
		_, twice := m.placed[placement.Job]
		require.False(t, twice, "%s is placed twice", placement.Job)
		require.Equal(t, job.Preemptible && !job.Claim, placement.Borrowed)
		firm := !job.Claim && !job.Preemptible && job.Shape.Block > 0
		require.False(t, firm && short, "%s is admitted beside a short guarantee", placement.Job)
		m.placed[placement.Job] = placement
	}
}

// hasShortfall reports whether failed workers leave too little for the guarantees;
// with all workers alive nothing excuses a shortfall.
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
	delete(m.evicted, id)
}

func (m *model) toggleWorker(t *rapid.T) {
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers[i].Alive = !m.workers[i].Alive
	entry := m.workers[i]
	m.apply(func(p *planner.Planner) { p.SetWorkers([]primrosespar.WorkerEntry{entry}) })
}

// takeover continues with a new planner that knows only the committed gangs.
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
		if m.evicted[id] {
			gang.State = primrosespar.GangStopping
		}
		m.apply(func(p *planner.Planner) { p.Restore(gang, now) })
	}
	if len(m.unbound) == 0 && !m.claimsQueued() {
		require.Equal(t, before, m.planner.State().Guarantees, "guarantees after a takeover")
	}
}

// claimsQueued reports whether a claim is queued; one that waits for evictions
// has reserved blocks, which a takeover gives up.
func (m *model) claimsQueued() bool {
	for id, job := range m.jobs {
		if _, ok := m.placed[id]; job.Claim && !ok {
			return true
		}
	}
	return false
}

// checkPlacements compares the placements with the shapes, the workers and the quotas.
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
		require.Len(t, sizes, job.Shape.Members, "%s stands in part", id)
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

// checkRacks proves that a block stands in one rack.
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

// checkClaims claims every unclaimed block of every account at once on a copy.
func (m *model) checkClaims(t *rapid.T) {
	if m.shortfallSeen || m.hasShortfall() {
		return
	}
	copied := planner.New(m.options...)
	for _, call := range m.calls {
		call(copied)
	}
	// Waiting jobs may themselves claim the same blocks, so they leave first.
	for id := range m.jobs {
		if _, ok := m.placed[id]; !ok {
			copied.Remove(id, primrosespar.GangCancelled, m.now)
		}
	}
	waiting := map[primrosespar.JobID]bool{}
	stopped := map[primrosespar.JobID]bool{}
	for _, g := range copied.State().Guarantees {
		for i := range g.Count - g.Claimed {
			job := primrosespar.Job{
				ID: primrosespar.JobID(fmt.Sprintf("claim-%s-%d-%d", g.Account, g.Block, i)), Account: g.Account, Class: "proof",
				Place: place, Claim: true, Shape: primrosespar.Shape{Members: 1, Block: g.Block},
			}
			waiting[job.ID] = true
			require.NoError(t, copied.Add(job, m.now))
		}
	}
	for range 3 {
		plan := copied.Plan(m.now)
		for _, placement := range plan.Placements {
			delete(waiting, placement.Job)
		}
		for _, e := range plan.Preemptions {
			require.False(t, m.jobs[e.Victim].Claim || !m.jobs[e.Victim].Preemptible, "claims need %s to stop", e.Victim)
			stopped[e.Victim] = true
		}
		for id := range m.evicted {
			stopped[id] = true
		}
		for id := range stopped {
			copied.Remove(id, primrosespar.GangCancelled, m.now)
		}
	}
	require.Empty(t, waiting, "guaranteed blocks that can't be claimed")
}

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

// TestGuaranteesStayClaimable guards against overlap, partial gangs, exceeded
// quotas and work that blocks the claim of a guaranteed block.
func TestGuaranteesStayClaimable(t *testing.T) {
	rapid.Check(t, modelCheck(true))
}

// TestGuaranteesOnHealthyWorkers guards against the same on workers that never
// fail, where no shortfall excuses a claim that can't be placed.
func TestGuaranteesOnHealthyWorkers(t *testing.T) {
	rapid.Check(t, modelCheck(false))
}

// failureRecorder takes the failure of a check that is expected to fail.
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

// TestModelDetectsMissingGuaranteeCheck guards against a state machine that would pass
// without the reservation check: it has to fail when the check is off.
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
	require.True(t, recorder.Failed(), "the state machine passes without the reservation check")
	require.Contains(t, recorder.failure, "guaranteed blocks that can't be claimed")
}
