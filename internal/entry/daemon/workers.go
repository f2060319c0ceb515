package daemon

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
)

// maxWorkerCacheAge is how old the known racks may be. Their shape changes by hand, and
// a fresh list of 4,400 workers is about 1 MB.
const maxWorkerCacheAge = time.Minute

// workerCache caches the workers of all places.
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

// list returns the workers of every place. A place that cannot be read fails
// the whole list, since a pack check without it would be wrong.
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

// checkShape refuses a shape that no rack of any place could ever hold. With no
// list at hand the planner decides later.
func (c *workerCache) checkShape(shape primrosespar.Shape) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entries, err := c.list(ctx)
	if err != nil || shape.Block == 0 {
		return nil //nolint:nilerr // the planner refuses it when it can be read
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
