package daemon

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
)

// maxWorkerCacheAge is the age at which the list of workers is read again.
// Racks change only by manual work, and a list of 4,400 workers is about 1 MB.
const maxWorkerCacheAge = time.Minute

// workerCache caches the list of workers of all places. It is safe for
// concurrent use.
type workerCache struct {
	workers primrosespar.Workers
	clock   primrosespar.Clock
	places  []configurer.PlaceSettings

	mu      sync.Mutex
	entries []primrosespar.WorkerEntry
	readAt  time.Time
}

func newWorkerCache(workers primrosespar.Workers, clock primrosespar.Clock, places []configurer.PlaceSettings) *workerCache {
	return &workerCache{workers: workers, clock: clock, places: places}
}

// list returns the workers of every place. It fails if any place cannot be
// read, because a check whether guarantees fit would be wrong without that
// place.
func (c *workerCache) list(ctx context.Context) ([]primrosespar.WorkerEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readAt.IsZero() && c.clock.Since(c.readAt) < maxWorkerCacheAge {
		return c.entries, nil
	}
	var found []primrosespar.WorkerEntry
	for _, p := range c.places {
		entries, _, err := c.workers.Changes(ctx, p.Place, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			e.Tasks = nil
			found = append(found, e)
		}
	}
	c.entries, c.readAt = found, c.clock.Now()
	return found, nil
}

// checkShape refuses a shape that does not fit into the largest rack of any
// place. If the workers cannot be read it accepts the shape, and the planner
// decides later.
func (c *workerCache) checkShape(shape primrosespar.Shape) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entries, err := c.list(ctx)
	if err != nil || shape.Block == 0 {
		return nil //nolint:nilerr // the planner refuses the shape once it knows the workers
	}
	needed := shape.Block
	if shape.OneRack {
		needed = shape.Accelerators()
	}
	largest := largestRack(entries)
	if needed > largest {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"the shape needs %d adjacent accelerators, the largest rack has %d", needed, largest)
	}
	return nil
}

// largestRack returns the accelerators of the rack that has the most.
func largestRack(entries []primrosespar.WorkerEntry) int {
	type rack struct {
		place primrosespar.Place
		name  primrosespar.Rack
	}
	sizes := map[rack]int{}
	largest := 0
	for _, e := range entries {
		key := rack{e.Place, e.Rack}
		sizes[key] += e.Accelerators
		largest = max(largest, sizes[key])
	}
	return largest
}
