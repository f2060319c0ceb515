package controller_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

// stored returns the quarantines as the table has them.
func (w *world) stored() []quarantiner.Entry {
	rows, err := w.table.Get(w.t.Context(), primrosespar.QuarantineKey(place))
	require.NoError(w.t, err)
	if rows[0].Version == 0 {
		return nil
	}
	var out []quarantiner.Entry
	require.NoError(w.t, json.Unmarshal(rows[0].Value, &out))
	return out
}

// badWorker runs jobs on a place with a worker that fails everything at once
// and returns how many failed for good and how many starts were repeated.
func badWorker(t *testing.T, quarantine bool) (failed, restarts int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.host(controller.WithQuarantine(quarantine))()
		require.NoError(t, w.workers.SetFailAll("w00", true))
		var ids []primrosespar.JobID
		for range 60 {
			ids = append(ids, w.submit("beta", 1, 8, 2*time.Minute, false))
			w.clock.Sleep(5 * time.Second)
		}
		for _, id := range ids {
			for start := w.clock.Now(); !w.state(id).State.Ended(); w.clock.Sleep(time.Second) {
				require.Less(t, w.clock.Since(start), time.Hour)
			}
			if w.state(id).State == primrosespar.GangFailed {
				failed++
			}
			restarts += int(w.state(id).Attempt) - 1
		}
		w.verdict()
	})
	return failed, restarts
}

// TestBadWorkerIsTakenOut guards against a worker that takes the place's jobs
// by failing each of them at once.
func TestBadWorkerIsTakenOut(t *testing.T) {
	failed, restarts := badWorker(t, true)
	failedWithout, restartsWithout := badWorker(t, false)
	t.Logf("failed %d, restarted %d; without quarantine %d and %d", failed, restarts, failedWithout, restartsWithout)
	// Three failed jobs start a quarantine. In the five minutes of arrivals it
	// ends at most four times, each time in a probe by one job.
	const exposed = 3 + 4
	require.LessOrEqual(t, failed, exposed)
	require.LessOrEqual(t, restarts, 2*exposed)
	require.Greater(t, failedWithout, exposed)
	require.Greater(t, restartsWithout, 2*exposed)
}

// TestAtMostAFifthIsOut guards against a common fault that takes a place out of
// service, and against a new holder that forgets the quarantines.
func TestAtMostAFifthIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		kill := w.host()
		for i := range 16 {
			require.NoError(t, w.workers.SetFailAll(primrosespar.Worker(fmt.Sprintf("w%02d", i)), true))
		}
		most := 0
		for range 60 {
			w.submit("beta", 1, 8, time.Minute, false)
			w.clock.Sleep(time.Second)
			most = max(most, len(w.stored()))
		}
		require.Equal(t, 16/5, most)
		require.NotZero(t, w.records.count(primrosespar.DecisionQuarantine, primrosespar.CodeWorkerQuarantined))
		before := w.stored()
		kill()
		w.clock.Sleep(time.Minute)
		require.Equal(t, before, w.stored())
		defer w.host()()
		for i := range 16 {
			require.NoError(t, w.workers.SetFailAll(primrosespar.Worker(fmt.Sprintf("w%02d", i)), false))
		}
		w.clock.Sleep(8 * time.Second)
		id := w.submit("beta", 10, 8, 5*time.Second, false)
		w.await(id, primrosespar.GangRunning, 10*time.Second)
		for _, s := range w.state(id).Slices {
			for _, e := range before {
				require.NotEqual(t, e.Worker, s.Worker, "a quarantined worker got work after the change of holder")
			}
		}
		w.verdict()
	})
}

// TestImpossibleJobBlamesNoWorker guards against sound workers that are taken
// out for a job that fails wherever it runs.
func TestImpossibleJobBlamesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.host()()
		id := w.submitWork("beta", 8, 8, 5*time.Second, false, true)
		w.await(id, primrosespar.GangFailed, time.Minute)
		w.clock.Sleep(time.Minute)
		require.Empty(t, w.stored())
		require.Zero(t, w.records.count(primrosespar.DecisionQuarantine, primrosespar.CodeWorkerQuarantined))
		w.verdict()
	})
}
