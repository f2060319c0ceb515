package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

const place = primrosespar.Place("tn-charguia")

// Sizes of a place today (design page, section 2).
const (
	workerCount   = 17
	perWorker     = 8
	perRack       = 8
	cores         = 130
	memory        = 500 << 30
	accelerators  = workerCount * perWorker
	arrivalTime   = 24 * time.Hour
	jobsPerDay    = 245
	cancelledPart = 0.6
)

// Task is one job with what really happens to it.
type Task struct {
	At     time.Time
	Job    primrosespar.Job
	Actual time.Duration
	// Cancelled jobs are part of the cancellation wave.
	Cancelled bool
}

// Workload is what happens in one run.
type Workload struct {
	Name       string
	Seed       uint64
	Start, End time.Time
	Workers    []primrosespar.WorkerEntry
	View       primrosespar.ContractView
	Tasks      []Task
	Cancels    []time.Time
	// Bad workers fail all their tasks from BadFrom to BadUntil.
	Bad               map[primrosespar.Worker]bool
	BadFrom, BadUntil time.Time
}

// Names lists the workloads.
func Names() []string {
	return []string{"normal", "burst_small", "burst_large", "run_times_off_10x", "cancellation_wave", "workers_fail"}
}

// NewWorkload draws the named workload from the seed.
func NewWorkload(name string, seed uint64) Workload {
	start := time.Unix(1_700_000_000, 0).UTC()
	w := Workload{Name: name, Seed: seed, Start: start, End: start.Add(arrivalTime), Bad: map[primrosespar.Worker]bool{}}
	r := rand.New(rand.NewPCG(seed, 11))
	w.addWorkers()
	w.addContracts()
	for i := range jobsPerDay {
		at := start.Add(time.Duration(r.Float64() * float64(arrivalTime)))
		w.addJob(r, fmt.Sprintf("job-%03d", i), at, drawSize(r))
	}
	w.addClaims(r)
	switch name {
	case "burst_small":
		for i := range 300 {
			w.addJob(r, fmt.Sprintf("small-%03d", i), start.Add(6*time.Hour), 1+r.IntN(2))
		}
	case "burst_large":
		for i := range 12 {
			w.addJob(r, fmt.Sprintf("large-%02d", i), start.Add(6*time.Hour), 32)
		}
	case "cancellation_wave":
		w.Cancels = []time.Time{start.Add(8 * time.Hour)}
	case "workers_fail":
		w.Bad["w-03"], w.Bad["w-10"] = true, true
		w.BadFrom, w.BadUntil = start.Add(5*time.Hour), start.Add(9*time.Hour)
	}
	slices.SortStableFunc(w.Tasks, func(a, b Task) int { return a.At.Compare(b.At) })
	return w
}

func (w *Workload) addWorkers() {
	for i := range workerCount {
		w.Workers = append(w.Workers, primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%02d", i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("r-%d", i/perRack)), Position: i % perRack,
			Cores: cores, MemoryBytes: memory, Accelerators: perWorker, Alive: true,
		})
	}
}

func (w *Workload) addContracts() {
	guarantees := [][2]int{{8, 2}, {16, 1}, {8, 2}, {4, 4}}
	for i, g := range guarantees {
		w.View.Contracts = append(w.View.Contracts, primrosespar.VersionedContract{Version: 1, Contract: primrosespar.Contract{
			Account: account(i), Weight: 1 + i%2, MaxAccelerators: accelerators,
			Guarantees: []primrosespar.Guarantee{{Place: place, Block: g[0], Count: g[1]}},
			Classes: []primrosespar.ClassTerms{
				{Class: "overnight", Kind: primrosespar.KindGang, Preemptible: true, LatenessCost: 10},
				{Class: "claims", Kind: primrosespar.KindGang, Urgent: true, LatenessCost: 1000},
			},
		}})
	}
}

func account(i int) primrosespar.Account {
	return primrosespar.Account(fmt.Sprintf("account-%d", i))
}

// drawSize draws the accelerators of a job.
func drawSize(r *rand.Rand) int {
	shares := []float64{0.30, 0.20, 0.20, 0.15, 0.08, 0.05, 0.02}
	x := r.Float64()
	for level, share := range shares {
		if x < share {
			return 1 << level
		}
		x -= share
	}
	return 1
}

// drawRun draws a run time: median one hour, mean 1.65 hours.
func drawRun(r *rand.Rand) time.Duration {
	run := time.Duration(float64(time.Hour) * math.Exp(r.NormFloat64()))
	return min(max(run, 2*time.Minute), 12*time.Hour).Round(time.Second)
}

func (w *Workload) addJob(r *rand.Rand, id string, at time.Time, size int) {
	actual := drawRun(r)
	off := 0.7 + 0.8*r.Float64()
	if w.Name == "run_times_off_10x" {
		off = math.Pow(10, 2*r.Float64()-1)
	}
	shape := primrosespar.Shape{Members: 1, Block: size}
	if size > perWorker && r.IntN(2) == 0 {
		shape = primrosespar.Shape{Members: size / perWorker, Block: perWorker}
	}
	w.Tasks = append(w.Tasks, Task{At: at, Actual: actual, Cancelled: r.Float64() < cancelledPart, Job: primrosespar.Job{
		ID: primrosespar.JobID(id), Account: account(r.IntN(4)), Class: "overnight", Place: place, Shape: shape,
		Preemptible: size > perWorker || r.Float64() < 0.85,
		Declared:    time.Duration(float64(actual) * off), Deadline: time.Hour + 4*actual,
	}})
}

// addClaims lets each account claim each guaranteed block now and then, one
// claim at a time.
func (w *Workload) addClaims(r *rand.Rand) {
	for i, c := range w.View.Contracts {
		g := c.Contract.Guarantees[0]
		for n := range g.Count {
			at := w.Start.Add(time.Duration(r.Float64() * float64(3*time.Hour)))
			for k := 0; at.Before(w.End); k++ {
				actual := time.Duration(10+r.IntN(60)) * time.Minute
				w.Tasks = append(w.Tasks, Task{At: at, Actual: actual, Job: primrosespar.Job{
					ID: primrosespar.JobID(fmt.Sprintf("claim-%d-%d-%02d", i, n, k)), Account: account(i), Class: "claims",
					Place: place, Claim: true, Shape: primrosespar.Shape{Members: 1, Block: g.Block},
					Declared: actual, Deadline: 2 * actual,
				}})
				at = at.Add(actual + time.Minute + time.Duration(r.Float64()*float64(4*time.Hour)))
			}
		}
	}
}
