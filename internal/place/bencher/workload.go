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

// Sizes and load of a place today (section 2 of docs/design.md).
const (
	workerCount           = 17
	acceleratorsPerWorker = 8
	workersPerRack        = 8
	coresPerWorker        = 130
	memoryPerWorker       = 500 << 30
	totalAccelerators     = workerCount * acceleratorsPerWorker
	arrivalPeriod         = 24 * time.Hour
	jobsPerDay            = 245
	cancelledShare        = 0.6
)

// SimulatedJob is a job with its arrival, its actual run time and whether it is
// cancelled.
type SimulatedJob struct {
	Arrival time.Time
	Job     primrosespar.Job
	RunTime time.Duration
	// Cancelled is true for the jobs that a cancellation wave cancels.
	Cancelled bool
}

// Workload is the input of one run.
type Workload struct {
	Name         string
	Seed         uint64
	Start, End   time.Time
	Workers      []primrosespar.WorkerEntry
	ContractView primrosespar.ContractView
	Jobs         []SimulatedJob
	CancelTimes  []time.Time
	// FaultyWorkers fail all their tasks from FaultsFrom to FaultsUntil.
	FaultyWorkers           map[primrosespar.Worker]bool
	FaultsFrom, FaultsUntil time.Time
}

// WorkloadNames returns the names that NewWorkload accepts.
func WorkloadNames() []string {
	return []string{"normal", "burst_small", "burst_large", "run_times_off_10x", "cancellation_wave", "workers_fail"}
}

// NewWorkload generates the named workload from the seed; the same seed gives
// the same workload.
func NewWorkload(name string, seed uint64) Workload {
	start := time.Unix(1_700_000_000, 0).UTC()
	w := Workload{Name: name, Seed: seed, Start: start, End: start.Add(arrivalPeriod), FaultyWorkers: map[primrosespar.Worker]bool{}}
	r := rand.New(rand.NewPCG(seed, 11))
	w.addWorkers()
	w.addContracts()
	for i := range jobsPerDay {
		arrival := start.Add(time.Duration(r.Float64() * float64(arrivalPeriod)))
		w.addJob(r, fmt.Sprintf("job-%03d", i), arrival, drawSize(r))
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
		w.CancelTimes = []time.Time{start.Add(8 * time.Hour)}
	case "workers_fail":
		w.FaultyWorkers["w-03"], w.FaultyWorkers["w-10"] = true, true
		w.FaultsFrom, w.FaultsUntil = start.Add(5*time.Hour), start.Add(9*time.Hour)
	}
	slices.SortStableFunc(w.Jobs, func(a, b SimulatedJob) int { return a.Arrival.Compare(b.Arrival) })
	return w
}

// addWorkers adds the workers of the place.
func (w *Workload) addWorkers() {
	for i := range workerCount {
		w.Workers = append(w.Workers, primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%02d", i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("r-%d", i/workersPerRack)), Position: i % workersPerRack,
			Cores: coresPerWorker, MemoryBytes: memoryPerWorker, Accelerators: acceleratorsPerWorker, Alive: true,
		})
	}
}

// addContracts adds four accounts with different guarantees, given as pairs of
// block size and count.
func (w *Workload) addContracts() {
	guarantees := [][2]int{{8, 2}, {16, 1}, {8, 2}, {4, 4}}
	for i, g := range guarantees {
		w.ContractView.Contracts = append(w.ContractView.Contracts, primrosespar.VersionedContract{Version: 1, Contract: primrosespar.Contract{
			Account: accountName(i), Weight: 1 + i%2, MaxAccelerators: totalAccelerators,
			Guarantees: []primrosespar.Guarantee{{Place: place, Block: g[0], Count: g[1]}},
			Classes: []primrosespar.ClassTerms{
				{Class: "overnight", Kind: primrosespar.KindGang, Preemptible: true, LatenessCost: 10},
				{Class: "claims", Kind: primrosespar.KindGang, Urgent: true, LatenessCost: 1000},
			},
		}})
	}
}

// accountName returns the name of the account with the number.
func accountName(i int) primrosespar.Account {
	return primrosespar.Account(fmt.Sprintf("account-%d", i))
}

// drawSize draws the number of accelerators of a job, a power of two.
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

// drawRunTime draws a log-normal run time with a median of one hour and a mean
// of 1.65 hours, and limits it to between 2 minutes and 12 hours.
func drawRunTime(r *rand.Rand) time.Duration {
	runTime := time.Duration(float64(time.Hour) * math.Exp(r.NormFloat64()))
	return min(max(runTime, 2*time.Minute), 12*time.Hour).Round(time.Second)
}

// addJob adds a job whose declared run time is the actual one times a random
// factor.
func (w *Workload) addJob(r *rand.Rand, id string, arrival time.Time, size int) {
	runTime := drawRunTime(r)
	declaredFactor := 0.7 + 0.8*r.Float64()
	if w.Name == "run_times_off_10x" {
		declaredFactor = math.Pow(10, 2*r.Float64()-1)
	}
	shape := primrosespar.Shape{Members: 1, Block: size}
	if size > acceleratorsPerWorker && r.IntN(2) == 0 {
		shape = primrosespar.Shape{Members: size / acceleratorsPerWorker, Block: acceleratorsPerWorker}
	}
	w.Jobs = append(w.Jobs, SimulatedJob{Arrival: arrival, RunTime: runTime, Cancelled: r.Float64() < cancelledShare, Job: primrosespar.Job{
		ID: primrosespar.JobID(id), Account: accountName(r.IntN(4)), Class: "overnight", Place: place, Shape: shape,
		Preemptible: size > acceleratorsPerWorker || r.Float64() < 0.85,
		Declared:    time.Duration(float64(runTime) * declaredFactor), Deadline: time.Hour + 4*runTime,
	}})
}

// addClaims adds claims on each guaranteed block of each account. The claims on
// one block do not overlap.
func (w *Workload) addClaims(r *rand.Rand) {
	for i, c := range w.ContractView.Contracts {
		g := c.Contract.Guarantees[0]
		for n := range g.Count {
			arrival := w.Start.Add(time.Duration(r.Float64() * float64(3*time.Hour)))
			for k := 0; arrival.Before(w.End); k++ {
				runTime := time.Duration(10+r.IntN(60)) * time.Minute
				w.Jobs = append(w.Jobs, SimulatedJob{Arrival: arrival, RunTime: runTime, Job: primrosespar.Job{
					ID: primrosespar.JobID(fmt.Sprintf("claim-%d-%d-%02d", i, n, k)), Account: accountName(i), Class: "claims",
					Place: place, Claim: true, Shape: primrosespar.Shape{Members: 1, Block: g.Block},
					Declared: runTime, Deadline: 2 * runTime,
				}})
				arrival = arrival.Add(runTime + time.Minute + time.Duration(r.Float64()*float64(4*time.Hour)))
			}
		}
	}
}
