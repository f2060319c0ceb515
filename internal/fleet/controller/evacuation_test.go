package controller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/controller"
)

// evacuationBound is the bound of the tests.
const evacuationBound = 5 * time.Second

// placesFleet is a distantFleet with one worker in the place "east" and one in
// "west", and an operator. It records when the last start reached each.
type placesFleet struct {
	*distantFleet
	// evacuated is set while east is to be emptied, broken while the requests
	// cannot be read. A read takes readTime.
	evacuated atomic.Bool
	broken    atomic.Bool
	readTime  time.Duration
	lastStart map[primrosespar.Place]time.Time
}

// newPlacesFleet returns a fleet whose tasks take an hour.
func newPlacesFleet() *placesFleet {
	worker := func() *workingWorker { return &workingWorker{cores: 100, taskTime: time.Hour} }
	return &placesFleet{
		distantFleet: &distantFleet{workingFleet: newWorkingFleet(nil, worker(), worker()), delay: 60 * time.Millisecond},
		lastStart:    map[primrosespar.Place]time.Time{},
	}
}

// places returns the names of the places in the order of the workers.
func (f *placesFleet) places() []primrosespar.Place { return []primrosespar.Place{"east", "west"} }

// ListWorkers implements primrosespar.Source.
func (f *placesFleet) ListWorkers(ctx context.Context) ([]primrosespar.WorkerInfo, error) {
	workers, err := f.distantFleet.ListWorkers(ctx)
	for i := range workers {
		workers[i].Place = f.places()[i]
	}
	return workers, err
}

// Start implements primrosespar.Fleet.
func (f *placesFleet) Start(ctx context.Context, start primrosespar.Start) error {
	err := f.distantFleet.Start(ctx, start)
	workers, _ := f.ListWorkers(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range workers {
		if w.Worker == start.Worker {
			f.lastStart[w.Place] = time.Now()
		}
	}
	return err
}

// Evacuations implements primrosespar.EvacuationSource.
func (f *placesFleet) Evacuations(context.Context) ([]primrosespar.Evacuation, error) {
	time.Sleep(f.readTime)
	if f.broken.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the store is away")
	}
	if f.evacuated.Load() {
		return []primrosespar.Evacuation{{Place: "east", Version: 1}}, nil
	}
	return nil, nil
}

// last returns when the last start reached the place, the zero time if none did.
func (f *placesFleet) last(place primrosespar.Place) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStart[place]
}

// manyTasks returns a job with small tasks that take an hour.
func manyTasks(id primrosespar.JobID, tasks int) primrosespar.Submission {
	return primrosespar.Submission{ID: id, Queue: "q", Steps: []primrosespar.Step{
		{Count: tasks, Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 16}, Estimate: time.Hour},
	}}
}

// leadPlaces runs a controller of the fleet while f runs.
func leadPlaces(t *testing.T, fleet *placesFleet, f func(ctx context.Context, c *controller.Controller)) {
	ctx, cancel := context.WithCancel(t.Context())
	c := newControllerOf(t, newLimitedTable(20*time.Millisecond), fleet, controller.WithEvacuationBound(evacuationBound))
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	f(ctx, c)
	cancel()
	require.Error(t, <-ended)
}

// TestStartsThatWaitDoNotReachAnEvacuatedPlace guards against starts that were
// placed, stored or queued before an evacuation and leave long after it, also
// when it is taken back and asked for again within seconds.
func TestStartsThatWaitDoNotReachAnEvacuatedPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPlacesFleet()
		leadPlaces(t, fleet, func(ctx context.Context, c *controller.Controller) {
			time.Sleep(2 * time.Second)
			require.NoError(t, c.Submit(ctx, manyTasks("j", 3000)))
			time.Sleep(2 * time.Second)
			require.WithinDuration(t, time.Now(), fleet.last("east"), 200*time.Millisecond, "starts wait at the worker")
			for range 3 {
				fleet.evacuated.Store(true)
				time.Sleep(2 * time.Second)
				fleet.evacuated.Store(false)
				time.Sleep(500 * time.Millisecond)
			}
			fleet.evacuated.Store(true)
			requestedAt := time.Now()
			time.Sleep(30 * time.Second)
			require.Less(t, fleet.last("east").Sub(requestedAt), evacuationBound/2)
			require.WithinDuration(t, time.Now(), fleet.last("west"), time.Second, "the starts go elsewhere")
		})
	})
}

// TestNewHolderReadsEvacuationsFirst guards against starts of a new holder at a
// place that was evacuated before its term.
func TestNewHolderReadsEvacuationsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPlacesFleet()
		fleet.evacuated.Store(true)
		fleet.readTime = 2 * time.Second
		leadPlaces(t, fleet, func(ctx context.Context, c *controller.Controller) {
			require.NoError(t, c.Submit(ctx, manyTasks("j", 100)))
			time.Sleep(1900 * time.Millisecond)
			require.Zero(t, fleet.last("west"), "nothing was read yet")
			time.Sleep(10 * time.Second)
			require.NotZero(t, fleet.last("west"))
			require.Zero(t, fleet.last("east"))
		})
	})
}

// TestNoStartLeavesOnOldKnowledge guards against starts beyond the bound in an
// outage of the store, in which an evacuation may have been acknowledged, and
// against starts that never leave after it.
func TestNoStartLeavesOnOldKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newPlacesFleet()
		leadPlaces(t, fleet, func(ctx context.Context, c *controller.Controller) {
			time.Sleep(time.Second)
			require.NoError(t, c.Submit(ctx, manyTasks("j", 3000)))
			time.Sleep(2 * time.Second)
			fleet.broken.Store(true)
			brokenAt := time.Now()
			time.Sleep(10 * time.Second)
			for _, place := range fleet.places() {
				require.Less(t, fleet.last(place).Sub(brokenAt), evacuationBound-time.Second)
			}
			fleet.broken.Store(false)
			time.Sleep(3 * time.Second)
			require.WithinDuration(t, time.Now(), fleet.last("east"), time.Second)
		})
	})
}
