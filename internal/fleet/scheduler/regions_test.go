package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// TestWorkStaysInItsAllowedRegions guards against work that runs in a region
// which its queue or its account does not allow, and against other work of the
// same shape that is blocked with it.
func TestWorkStaysInItsAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		queue, account []primrosespar.Region
		starts         int
	}{
		{"all", nil, nil, 4},
		{"queue", []primrosespar.Region{"north"}, nil, 2},
		{"account", nil, []primrosespar.Region{"south", "unknown"}, 2},
		{"both", []primrosespar.Region{"north"}, []primrosespar.Region{"south"}, 0},
		{"region without places", []primrosespar.Region{"unknown"}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			for i := range h.workers {
				h.workers[i].Region = []primrosespar.Region{"north", "south"}[i%2]
			}
			h.scheduler.SetWorkers(h.workers, h.now)
			catalog := testCatalog()
			catalog.Contracts = nil
			open := catalog.Queues[1]
			open.Queue = "open"
			catalog.Queues = append(catalog.Queues, open)
			catalog.Queues[1].Regions = c.queue
			catalog.Regions = map[primrosespar.Account][]primrosespar.Region{"nord": c.account}
			h.scheduler.SetCatalog(catalog)
			h.reportAllIdle()
			starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 4, Need: needAccelerators(8)}))
			require.Len(t, starts, c.starts)
			for _, o := range starts {
				region := h.workers[h.workerIndex(o.Worker)].Region
				if c.queue != nil {
					require.Contains(t, c.queue, region)
				}
				if c.account != nil {
					require.Contains(t, c.account, region)
				}
			}
			h.now = h.now.Add(time.Second)
			other := job("b", "open", primrosespar.Step{Count: 4, Need: needAccelerators(8)})
			other.Account = "sud"
			require.Len(t, h.submitAndStart(other), 4-c.starts, "other work goes on")
		})
	}
}

// TestStartDoesNotLeaveForARegionThatWasWithdrawn guards against a start that
// only an older configuration allows.
func TestStartDoesNotLeaveForARegionThatWasWithdrawn(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 1)
	catalog := testCatalog()
	catalog.Queues[1].Regions = []primrosespar.Region{"north"}
	h.scheduler.SetCatalog(catalog)
	require.False(t, h.scheduler.ShouldSend(starts[0], h.now))
}

// TestExplainNamesPlacesAndRegions guards against an explanation that sends an
// operator to look for capacity where a place is emptied or a region not allowed.
func TestExplainNamesPlacesAndRegions(t *testing.T) {
	h, closed := newPlacesHarness(t)
	catalog := testCatalog()
	catalog.Queues[1].Regions = []primrosespar.Region{"nowhere"}
	h.scheduler.SetCatalog(catalog)
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	require.Equal(t, "no worker of its service in the regions that its queue and account allow could run one of its tasks, even when empty", h.waitReason("a"))
	closed["east"], closed["west"] = true, true
	h.scheduler.Submit(job("b", "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	require.Contains(t, h.waitReason("b"), "8 workers could run a task, of which 8 are at places that are emptied")
}
