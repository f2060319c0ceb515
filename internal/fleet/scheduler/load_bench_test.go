package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// planInterval is the virtual time between two plans of the benchmark.
const planInterval = 15 * time.Millisecond

// pollSteps is the number of steps between two polls of a worker.
const pollSteps = 133

// Load of the benchmark: more than the fleet can do.
const (
	jobsPerRackSecond = 40.0 / 88
	loadTime          = 30 * time.Second
)

// simulatedRun is a run of the benchmark and its end.
type simulatedRun struct {
	start   scheduler.Order
	endsAt  time.Time
	stopped bool
}

// simulation runs jobs on a fleet in virtual time.
type simulation struct {
	*harness
	random      *rand.Rand
	runs        map[primrosespar.Worker][]simulatedRun
	endCounts   map[primrosespar.Worker]uint64
	submissions map[primrosespar.JobID]primrosespar.Submission
	jobs        int
	tasksDone   int
	steps       int
}

// newSimulation returns a simulation with the given number of racks and no
// jobs.
func newSimulation(t *testing.T, racks int) *simulation {
	sim := &simulation{
		harness: newHarness(t, racks), random: rand.New(rand.NewPCG(1, 2)),
		runs: map[primrosespar.Worker][]simulatedRun{}, endCounts: map[primrosespar.Worker]uint64{},
		submissions: map[primrosespar.JobID]primrosespar.Submission{},
	}
	sim.reportAllIdle()
	return sim
}

// submit submits a job of one of three kinds: an urgent gang, a large gang, or
// a step of many small tasks.
func (sim *simulation) submit() {
	sim.jobs++
	sizes := []int{1, 2, 4, 8, 8}
	id := fmt.Sprintf("%016x", sim.jobs)
	var submission primrosespar.Submission
	switch kind := sim.random.Float64(); {
	case kind < 0.75:
		submission = job(id, "urgent", primrosespar.Step{
			Count: 1 + sim.random.IntN(10), Gang: true, OneRack: true, Estimate: 2500 * time.Millisecond,
			Need: primrosespar.Resources{Millicores: 7500, MemoryMiB: 15000, Accelerators: sizes[sim.random.IntN(5)]},
		})
	case kind < 0.88:
		submission = job(id, "plain", primrosespar.Step{
			Count: 1 + sim.random.IntN(20), Gang: true, OneRack: true, Estimate: 6800 * time.Millisecond,
			Need: primrosespar.Resources{Millicores: 26000, MemoryMiB: 30000, Accelerators: sizes[sim.random.IntN(5)]},
		})
	default:
		submission = job(id, "plain", primrosespar.Step{
			Count: 1 + sim.random.IntN(60), Estimate: 6100 * time.Millisecond, Checkpointing: true,
			Need: primrosespar.Resources{Millicores: 5600, MemoryMiB: 15000, Accelerators: 1},
		})
	}
	sim.submitJob(submission)
}

// submitJob submits a job.
func (sim *simulation) submitJob(submission primrosespar.Submission) {
	sim.submissions[submission.ID] = submission
	sim.scheduler.Submit(submission, sim.now)
}

// step advances the clock, reports for the workers and makes a plan.
func (sim *simulation) step() {
	sim.now = sim.now.Add(planInterval)
	sim.steps++
	for i, w := range sim.workers {
		runs := sim.runs[w.Worker]
		due := (sim.steps+i)%pollSteps == 0
		if len(runs) == 0 && !due {
			continue
		}
		var remaining []simulatedRun
		var ended []primrosespar.EndedRun
		for _, r := range runs {
			if sim.now.Before(r.endsAt) {
				remaining = append(remaining, r)
				continue
			}
			sim.endCounts[w.Worker]++
			end := primrosespar.EndDone
			if r.stopped {
				end = primrosespar.EndStopped
			} else {
				sim.tasksDone++
			}
			ended = append(ended, primrosespar.EndedRun{Sequence: sim.endCounts[w.Worker], Run: r.start.Run, End: end})
		}
		if len(ended) == 0 && !due {
			continue
		}
		sim.runs[w.Worker] = remaining
		var activeList []primrosespar.ActiveRun
		for _, r := range remaining {
			remaining := r.endsAt.Sub(sim.now).Seconds()
			activeList = append(activeList, primrosespar.ActiveRun{Run: r.start.Run, Percent: max(0, 99-remaining)})
		}
		sim.report(i, activeList, ended...)
	}
	sim.answerOrders(sim.scheduler.Plan(sim.now))
}

// answerOrders answers the orders of a plan with success.
func (sim *simulation) answerOrders(changes scheduler.Changes) {
	for _, o := range changes.Starts {
		sim.scheduler.HandleStartResult(o, primrosespar.CodeOK, sim.now)
		spread := time.Duration(sim.random.Float64() * float64(time.Second))
		estimate := sim.submissions[o.Run.Task.Job].Steps[0].Estimate
		sim.runs[o.Worker] = append(sim.runs[o.Worker], simulatedRun{start: o, endsAt: sim.now.Add(estimate + spread)})
	}
	for _, o := range changes.Stops {
		sim.scheduler.HandleStopResult(o, primrosespar.CodeOK, sim.now)
		for i := range sim.runs[o.Worker] {
			if r := &sim.runs[o.Worker][i]; r.start.Run == o.Run {
				r.endsAt, r.stopped = sim.now.Add(300*time.Millisecond), true
			}
		}
	}
}

// BenchmarkLoad measures the time that the scheduler takes per task of an
// overloaded fleet. The load grows with the fleet: each worker gets the same.
func BenchmarkLoad(b *testing.B) {
	for _, racks := range []int{12, 88, 275, 1100} {
		b.Run(fmt.Sprintf("workers=%d", racks*workersPerRack), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sim := newSimulation(&testing.T{}, racks)
				jobsPerStep := jobsPerRackSecond * float64(racks) * planInterval.Seconds()
				var due float64
				began := time.Now()
				for range int(loadTime / planInterval) {
					for due += jobsPerStep; due >= 1; due-- {
						sim.submit()
					}
					sim.step()
				}
				took := time.Since(began)
				b.ReportMetric(float64(took.Milliseconds())/loadTime.Seconds(), "ms/virtual-s")
				b.ReportMetric(float64(took.Microseconds())/float64(sim.tasksDone), "us/task")
				b.ReportMetric(float64(sim.tasksDone), "tasks-done")
			}
		})
	}
}
