package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/planner"
)

// scale is the size of a benchmarked place.
type scale struct {
	name                                   string
	workers, accelerators, tasks, accounts int
}

// newFilledPlanner returns a planner with about nine in ten accelerators held
// by small gangs. The other tasks use cores only.
func newFilledPlanner(b *testing.B, s scale) *planner.Planner {
	p := planner.New(planner.WithPlace(place))
	entries := make([]primrosespar.WorkerEntry, s.workers)
	remaining := s.accelerators
	for i := range entries {
		n := 1
		if i%8 == 0 || s.accelerators >= 8*s.workers {
			n = 8
		}
		n = min(n, remaining)
		remaining -= n
		entries[i] = primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%04d", i)), Place: place, Rack: primrosespar.Rack(fmt.Sprintf("r-%03d", i/8)),
			Position: i % 8, Cores: 130, MemoryBytes: 500, Accelerators: n, Alive: true,
		}
	}
	p.SetWorkers(entries)
	var view primrosespar.ContractView
	for i := range s.accounts {
		view.Contracts = append(view.Contracts, primrosespar.VersionedContract{Contract: primrosespar.Contract{
			Account: primrosespar.Account(fmt.Sprintf("team-%03d", i)), Weight: 1, MaxAccelerators: s.accelerators,
			Guarantees: []primrosespar.Guarantee{{Place: place, Block: 4, Count: max(s.accelerators/s.accounts/16, 1)}},
			Classes:    []primrosespar.ClassTerms{{Class: "c", Kind: primrosespar.KindGang, Preemptible: true}},
		}})
	}
	p.SetContracts(view)
	tasks := 0
	add := func(members, block int) {
		job := gangJob(fmt.Sprintf("t-%06d", tasks), view.Contracts[tasks%s.accounts].Contract.Account, members, block)
		job.Shape.Cores = 4
		require.NoError(b, p.Add(job, startTime()))
		tasks += members
	}
	for used := 0; used < s.accelerators*9/10; used += 2 {
		add(1, 1<<(used/2%2))
	}
	for tasks < s.tasks {
		add(min(8, s.tasks-tasks), 0)
	}
	p.Plan(startTime())
	return p
}

// addBacklog queues jobs that do not fit. Their shapes and declared run times
// differ, so that a plan after a release has to try each of them.
func addBacklog(b *testing.B, p *planner.Planner) {
	for i := range 200 {
		job := gangJob(fmt.Sprintf("waiting-%d", i), "team-001", 1+i%8, 8)
		job.Declared += time.Duration(i) * time.Minute
		require.NoError(b, p.Add(job, startTime()))
	}
	p.Plan(startTime())
}

// BenchmarkPlan measures one plan with one new job on a full place.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []scale{
		{"today", 17, 136, 170, 4}, {"target_place", 245, 300, 3167, 220}, {"target", 4400, 5400, 57000, 220},
	} {
		for _, scenario := range []string{"borrowed", "claim", "backlog"} {
			b.Run(s.name+"/"+scenario, func(b *testing.B) {
				p := newFilledPlanner(b, s)
				running := p.State().Running
				if scenario == "backlog" {
					addBacklog(b, p)
				}
				var durations []time.Duration
				n := 0
				for b.Loop() {
					job := gangJob(fmt.Sprintf("new-%d", n), "team-000", 1, 4)
					job.Claim = scenario == "claim"
					n++
					require.NoError(b, p.Add(job, startTime()))
					if scenario == "backlog" {
						p.Requeue("t-000000", startTime())
					}
					planStart := time.Now()
					plan := p.Plan(startTime())
					elapsed := time.Since(planStart)
					durations = append(durations, elapsed)
					for _, e := range plan.Preemptions {
						p.Requeue(e.Victim, startTime())
					}
					p.Remove(job.ID, primrosespar.GangCancelled, startTime())
					p.Plan(startTime())
				}
				slices.Sort(durations)
				for name, i := range map[string]int{"us/median": n / 2, "us/p99": n * 99 / 100, "us/worst": n - 1} {
					b.ReportMetric(float64(durations[i].Microseconds()), name)
				}
				b.ReportMetric(float64(running), "gangs")
			})
		}
	}
}
