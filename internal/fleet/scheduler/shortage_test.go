package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// shortage replays a load for which a fleet has too little room, in virtual time.
type shortage struct {
	*simulation
	arrivedAt, completedAt map[primrosespar.JobID]time.Time
}

// newShortage returns a fleet without guarantees, with queues of three
// priorities.
func newShortage(t *testing.T, racks int) *shortage {
	sim := newSimulation(t, racks)
	catalog := &primrosespar.Catalog{Version: 1, Contracts: []primrosespar.Contract{{Account: "nord"}, {Account: "sud"}}}
	for priority, queue := range []primrosespar.Queue{"urgent", "plain", "batch"} {
		catalog.Queues = append(catalog.Queues, primrosespar.QueueTerms{
			Queue: queue, Service: service, Priority: priority, Attempts: 2, Slack: 3, Target: time.Second,
		})
	}
	sim.scheduler.SetCatalog(catalog)
	return &shortage{sim, map[primrosespar.JobID]time.Time{}, map[primrosespar.JobID]time.Time{}}
}

// arrive submits a job of one gang that takes whole workers for about 5 s.
func (s *shortage) arrive(id string, queue primrosespar.Queue, account primrosespar.Account, workers int) {
	j := job(id, queue, primrosespar.Step{Count: workers, Gang: true, Need: needAccelerators(8)})
	j.Account = account
	s.arrivedAt[j.ID] = s.now
	s.submitJob(j)
}

// run lets the time pass and calls arrivals every 500 ms.
func (s *shortage) run(duration time.Duration, arrivals func(i int)) {
	const interval = 500 * time.Millisecond
	for i := range int(duration / interval) {
		arrivals(i)
		for range int(interval / planInterval) {
			s.step()
		}
		for id := range s.arrivedAt {
			if state, _ := s.scheduler.State(id); state == primrosespar.JobCompleted && s.completedAt[id].IsZero() {
				s.completedAt[id] = s.now
			}
		}
	}
}

// share returns the share of the jobs of a queue and account that had the time
// and were completed within it.
func (s *shortage) share(queue primrosespar.Queue, account primrosespar.Account, limit time.Duration) float64 {
	jobs, completed := 0, 0
	for id, at := range s.arrivedAt {
		if j := s.submissions[id]; j.Queue != queue || j.Account != account || s.now.Sub(at) < limit {
			continue
		}
		jobs++
		if done := s.completedAt[id]; !done.IsZero() && done.Sub(at) <= limit {
			completed++
		}
	}
	return float64(completed) / float64(max(1, jobs))
}

// objective is that of the jobs of newShortage.
const objective = 16 * time.Second

// TestGuaranteeComesFirstInUrgentBurst guards against a burst of urgent work
// without a guarantee that has to be stopped again for a guarantee.
func TestGuaranteeComesFirstInUrgentBurst(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	for i := range 2 * workersPerRack {
		j := job(fmt.Sprintf("burst%d", i), "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8)})
		j.Account = "sud"
		h.scheduler.Submit(j, h.now)
	}
	h.now = h.now.Add(10 * time.Millisecond)
	for i := range 2 {
		h.scheduler.Submit(job(fmt.Sprintf("g%d", i), "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	}
	changes := h.plan()
	require.Len(t, changes.Starts, workersPerRack)
	require.Equal(t, primrosespar.JobID("g0"), changes.Starts[0].Run.Task.Job)
	require.Equal(t, primrosespar.JobID("g1"), changes.Starts[1].Run.Task.Job)
	require.Empty(t, changes.Stops)
}

// TestSmallJobsAreServedBeforeAQueueOfLargeOnes guards against an order by
// deadline alone, where a queue of large jobs makes everybody late.
func TestSmallJobsAreServedBeforeAQueueOfLargeOnes(t *testing.T) {
	s := newShortage(t, 2)
	s.run(40*time.Second, func(i int) {
		if i == 0 {
			for k := range 8 {
				s.arrive(fmt.Sprintf("large%d", k), "plain", "nord", 8)
			}
		}
		if i > 0 && i <= 16 {
			s.arrive(fmt.Sprintf("small%d", i), "plain", "nord", 2)
		}
	})
	require.Greater(t, s.share("plain", "nord", objective), 0.35, "9 of 24 jobs")
}

// TestLowPriorityIsNotStarved guards against a class that waits without end
// behind a load of higher priority that alone fills the fleet.
func TestLowPriorityIsNotStarved(t *testing.T) {
	s := newShortage(t, 1)
	s.run(2*time.Minute, func(i int) {
		s.arrive(fmt.Sprintf("plain%d", i), "plain", "nord", 1)
		if i%4 == 0 {
			s.arrive(fmt.Sprintf("batch%d", i), "batch", "nord", 1)
		}
	})
	require.Greater(t, s.share("batch", "nord", 3*objective), 0.1)
}

// TestAccountIsNotStarvedByAnother guards against an account whose few jobs wait
// behind the many of another account.
func TestAccountIsNotStarvedByAnother(t *testing.T) {
	s := newShortage(t, 1)
	s.run(time.Minute, func(i int) {
		s.arrive(fmt.Sprintf("flood%d-0", i), "plain", "nord", 1)
		s.arrive(fmt.Sprintf("flood%d-1", i), "plain", "nord", 1)
		if i%8 == 2 {
			s.arrive(fmt.Sprintf("other%d", i), "plain", "sud", 1)
		}
	})
	require.Greater(t, s.share("plain", "sud", objective), 0.5)
}

// TestLargestJobsAreNotStarved guards against a stream of small jobs that takes
// the room that a large one waits for.
func TestLargestJobsAreNotStarved(t *testing.T) {
	s := newShortage(t, 4)
	s.run(time.Minute, func(i int) {
		for k := range 2 {
			s.arrive(fmt.Sprintf("small%d-%d", i, k), "plain", "nord", 1)
		}
		if i == 8 {
			s.arrive("large", "plain", "nord", 4)
		}
	})
	require.False(t, s.completedAt["large"].IsZero())
	require.Less(t, s.completedAt["large"].Sub(s.arrivedAt["large"]), 2*objective)
}

// TestHeldBackWorkStartsBeforeItIsLate guards against work that becomes late
// while accelerators are kept free for guarantees that nobody claims.
func TestHeldBackWorkStartsBeforeItIsLate(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	for i := range workersPerRack - 1 {
		h.submitAndStart(job(fmt.Sprintf("long%d", i), "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8), Estimate: time.Minute}))
	}
	require.Empty(t, h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(5)})))
	require.Len(t, h.submitAndStart(job("b", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), Checkpointing: true})), 1,
		"a stop would lose little")
	h.now = h.now.Add(objective - 11*time.Second)
	require.Empty(t, h.plan().Starts, "it can still wait")
	h.now = h.now.Add(time.Second)
	require.Len(t, h.plan().Starts, 1)
}

// TestImpossibleJobIsRejected guards against a job that waits until its caller
// gives up, and against a known job that is rejected when it is sent again.
func TestImpossibleJobIsRejected(t *testing.T) {
	h := newHarness(t, 1)
	for range 10 {
		h.scheduler.SetWorkers(h.workers, h.now)
	}
	possible := job("a", "plain", primrosespar.Step{Count: workersPerRack, Gang: true, Need: needAccelerators(8)})
	require.NoError(t, h.scheduler.CheckAdmission(possible))
	impossible := job("b", "plain", primrosespar.Step{Count: workersPerRack + 1, Gang: true, Need: needAccelerators(8)})
	require.Equal(t, primrosespar.CodeImpossibleShape, primrosespar.CodeOf(h.scheduler.CheckAdmission(impossible)))
	h.scheduler.Submit(impossible, h.now)
	require.NoError(t, h.scheduler.CheckAdmission(impossible))
}
