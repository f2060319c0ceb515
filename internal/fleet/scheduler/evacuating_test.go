package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// places says which places accept no work.
type places map[primrosespar.Place]bool

// newPlacesHarness returns a harness with one rack of four workers in each of
// two places, and the set of places that accept no work.
func newPlacesHarness(t *testing.T) (*harness, places) {
	closed := places{}
	h := newHarness(t, 2, scheduler.WithAccepts(func(place primrosespar.Place) bool { return !closed[place] }))
	for i := range h.workers[workersPerRack:] {
		h.workers[workersPerRack+i].Place = "west"
	}
	h.scheduler.SetWorkers(h.workers, h.now)
	h.reportAllIdle()
	return h, closed
}

// placeOf returns the place of the worker of an order.
func (h *harness) placeOf(o scheduler.Order) primrosespar.Place {
	return h.workers[h.workerIndex(o.Worker)].Place
}

// requireElsewhere fails if an order is for a worker in the place.
func (h *harness) requireElsewhere(place primrosespar.Place, orders []scheduler.Order) {
	for _, o := range orders {
		require.NotEqual(h.t, place, h.placeOf(o), "%s", o.Worker)
	}
}

// later advances the time by a second and returns the changes of two plans, of which the
// second places what the first has freed.
func (h *harness) later() scheduler.Changes {
	h.now = h.now.Add(time.Second)
	changes := h.plan()
	next := h.plan()
	changes.Starts = append(changes.Starts, next.Starts...)
	changes.Stops = append(changes.Stops, next.Stops...)
	return changes
}

// TestClosedPlaceGetsNoWork guards against work that is sent to a place that an
// operator empties, and against a place that gets none after it was taken back.
func TestClosedPlaceGetsNoWork(t *testing.T) {
	h, closed := newPlacesHarness(t)
	closed["east"] = true
	starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 6, Need: needAccelerators(8)}))
	require.Len(t, starts, 3, "a part of the guarantee is kept free elsewhere")
	h.requireElsewhere("east", starts)
	closed["east"] = false
	require.NotEmpty(t, h.later().Starts)
}

// TestRunsOfAClosedPlaceGoOn guards against work that is lost although it may
// end where it is.
func TestRunsOfAClosedPlaceGoOn(t *testing.T) {
	h, closed := newPlacesHarness(t)
	starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 6, Need: needAccelerators(8)}))
	h.reportRunning(starts)
	closed["east"], closed["west"] = true, true
	changes := h.later()
	require.Empty(t, changes.Stops)
	require.Empty(t, changes.Withdrawals)
}

// TestStoredStartDoesNotLeaveForAClosedPlace guards against a start whose record
// was stored while the place was closed.
func TestStoredStartDoesNotLeaveForAClosedPlace(t *testing.T) {
	h, closed := newPlacesHarness(t)
	closed["west"] = true
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 1)
	closed["west"], closed["east"] = false, true
	require.False(t, h.scheduler.ShouldSend(starts[0], h.now))
	again := h.later()
	require.Len(t, again.Starts, 1)
	h.requireElsewhere("east", again.Starts)
	require.Empty(t, again.Stops, "the start never left")
}

// TestUnansweredStartIsNotRepeatedAtAClosedPlace guards against a repeated start
// that reaches a place long after it was closed.
func TestUnansweredStartIsNotRepeatedAtAClosedPlace(t *testing.T) {
	h, closed := newPlacesHarness(t)
	closed["west"] = true
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	start := h.plan().Starts[0]
	require.True(t, h.scheduler.ShouldSend(start, h.now))
	h.scheduler.HandleStartResult(start, primrosespar.CodeWorkerLost, h.now)
	closed["west"], closed["east"] = false, true
	changes := h.later()
	require.Empty(t, changes.Starts)
	require.Len(t, changes.Stops, 1, "the stop rules out the start that got no answer")
	h.scheduler.HandleStopResult(changes.Stops[0], primrosespar.CodeOK, h.now)
	h.now = h.now.Add(time.Second)
	h.report(h.workerIndex(start.Worker), nil)
	again := h.later().Starts
	require.Len(t, again, 1)
	h.requireElsewhere("east", again)
}

// TestOrdersInFlightToAClosedPlaceAreWithdrawn guards against starts that wait
// for others to the same worker and leave after the place was closed.
func TestOrdersInFlightToAClosedPlaceAreWithdrawn(t *testing.T) {
	h, closed := newPlacesHarness(t)
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	start := h.plan().Starts[0]
	require.True(t, h.scheduler.ShouldSend(start, h.now))
	closed[h.placeOf(start)] = true
	changes := h.plan()
	require.Len(t, changes.Withdrawals, 1)
	require.Equal(t, start.Run, changes.Withdrawals[0].Run)
	h.scheduler.HandleStartResult(start, primrosespar.CodePeerUnavailable, h.now)
	again := h.later().Starts
	require.Len(t, again, 1)
	h.requireElsewhere(h.placeOf(start), again)
}

// TestOrderThatArrivedBeforeThePlaceClosedRunsOn guards against work that is
// stopped because the answer to its start comes after the place was closed.
func TestOrderThatArrivedBeforeThePlaceClosedRunsOn(t *testing.T) {
	h, closed := newPlacesHarness(t)
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	start := h.plan().Starts[0]
	require.True(t, h.scheduler.ShouldSend(start, h.now))
	closed[h.placeOf(start)] = true
	h.plan()
	h.acceptStarts([]scheduler.Order{start})
	require.Empty(t, h.later().Stops)
}

// TestHalfGatheredGangLeavesAClosedPlace guards against a gang that starts in a
// closed place when its last member starts elsewhere.
func TestHalfGatheredGangLeavesAClosedPlace(t *testing.T) {
	h, closed := newPlacesHarness(t)
	h.scheduler.Submit(job("g", "plain", primrosespar.Step{Count: 6, Need: needAccelerators(8), Gang: true}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 6)
	var waiting []scheduler.Order
	for _, o := range starts {
		require.True(t, h.scheduler.ShouldSend(o, h.now))
		if h.placeOf(o) == "east" {
			h.acceptStarts([]scheduler.Order{o})
			continue
		}
		waiting = append(waiting, o)
		h.scheduler.HandleStartResult(o, primrosespar.CodeWorkerLate, h.now)
	}
	require.NotEmpty(t, waiting)
	closed["east"] = true
	changes := h.later()
	require.Empty(t, changes.Starts, "a member elsewhere would start those in the closed place")
	require.Len(t, changes.Stops, len(starts))
}

// TestClaimsInAClosedPlaceAreDropped guards against a guarantee that waits for
// room that was freed for it in a place that has been closed since.
func TestClaimsInAClosedPlaceAreDropped(t *testing.T) {
	h, closed := newPlacesHarness(t)
	starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 8, Need: needAccelerators(8)}))
	require.Len(t, starts, 7, "one worker is kept free")
	h.reportRunning(starts)
	h.scheduler.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: needAccelerators(8)}), h.now)
	stops := h.later().Stops
	require.Len(t, stops, 1)
	closed[h.placeOf(stops[0])] = true
	again := h.later().Stops
	require.Len(t, again, 1)
	h.requireElsewhere(h.placeOf(stops[0]), again)
}

// TestWithheldStartIsTriedAgain guards against a start that never leaves because
// it might not for a while, and against a stop of one that never left.
func TestWithheldStartIsTriedAgain(t *testing.T) {
	withheld := true
	h := newHarness(t, 1, scheduler.WithMayStart(func() bool { return !withheld }))
	h.reportAllIdle()
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	h.scheduler.Submit(job("b", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	for _, o := range h.plan().Starts {
		require.False(t, h.scheduler.ShouldSend(o, h.now))
	}
	require.Empty(t, h.plan().Starts)
	h.scheduler.Cancel("b", h.now)
	changes := h.later()
	require.Empty(t, changes.Stops, "it never left")
	require.Len(t, changes.Starts, 1)
	require.False(t, h.scheduler.ShouldSend(changes.Starts[0], h.now))
	withheld = false
	again := h.later().Starts
	require.Len(t, again, 1)
	require.Equal(t, changes.Starts, again, "the same run")
	require.True(t, h.scheduler.ShouldSend(again[0], h.now))
}
