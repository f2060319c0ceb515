package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/planner"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// Sizes of one of 18 places at the target scale of 4,400 workers and 57,000
// tasks in all.
const (
	workersPerPlace = 244
	gangMembers     = 64
	warmupTime      = 8 * time.Second
	measureTime     = 5 * time.Second
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRunningTasks measures processor time and memory of the place lease
// holder while tasks run and none starts or ends. The figures include the
// stand-in workers and table, which run in the same process.
func BenchmarkRunningTasks(b *testing.B) {
	for _, gangs := range []int{0, 7, 50} {
		b.Run(fmt.Sprintf("tasks=%d", gangs*gangMembers), func(b *testing.B) {
			for b.Loop() {
				measureRunningTasks(b, gangs)
			}
		})
	}
}

// measureRunningTasks runs the gangs, waits until they have started and prints
// the measurements as a line of JSON.
func measureRunningTasks(b *testing.B, gangs int) {
	clock := clockwork.NewRealClock()
	table := keeper.New(keeper.WithClock(clock))
	workers := executor.New(executor.WithClock(clock), executor.WithRunTime(time.Hour))
	for i := range workersPerPlace {
		workers.Add(primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w%03d", i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("r%d", i/8)), Position: i % 8,
			Cores: 60, MemoryBytes: 130 << 30, Accelerators: i % 2, Alive: true,
		})
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	c := controller.New(controller.Parts{
		Place: place, Host: "host-1", Table: table, Workers: workers, Clock: clock,
		Lease:     leaser.New(table, clock, leaser.Identity{Place: place, Host: "host-1", Incarnation: "run-1"}),
		Contracts: fakeContracts{}, Recorder: &decisionCounter{counts: map[primrosespar.DecisionKind]map[primrosespar.Code]int{}},
		Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) },
	})
	go func() { _ = c.Run(ctx) }()
	jobs := submitter.New(table, fakeContracts{}, clock)
	for range gangs {
		if _, _, err := jobs.Submit(ctx, primrosespar.Job{
			Account: "beta", Class: "allotment", Place: place, Declared: time.Hour,
			Shape: primrosespar.Shape{Members: gangMembers, Cores: 1, MemoryBytes: 1 << 30},
		}, ""); err != nil {
			b.Fatal(err)
		}
	}
	clock.Sleep(warmupTime)
	state, _ := c.State()
	used, start := processorTime(b), clock.Now()
	clock.Sleep(measureTime)
	used = processorTime(b) - used
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	_ = json.NewEncoder(os.Stdout).Encode(struct {
		Name             string  `json:"name"`
		Gangs            int     `json:"gangs_running"`
		ProcessorMsPerS  float64 `json:"processor_ms_per_s"`
		HeapMB           float64 `json:"heap_mb"`
		CommandsPerS     float64 `json:"commands_per_s"`
		StoreWritesTotal uint64  `json:"store_writes_total"`
	}{
		b.Name(), state.Running, used.Seconds() * 1000 / clock.Since(start).Seconds(),
		float64(memory.HeapAlloc) / (1 << 20), float64(workers.Counts().Commands) / (warmupTime + measureTime).Seconds(),
		table.Counts().Transactions,
	})
}
