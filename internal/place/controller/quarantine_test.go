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

// storedQuarantines returns the quarantines in the table.
func (env *testEnv) storedQuarantines() []quarantiner.Entry {
	rows, err := env.table.Get(env.t.Context(), primrosespar.QuarantineKey(place))
	require.NoError(env.t, err)
	if rows[0].Version == 0 {
		return nil
	}
	var out []quarantiner.Entry
	require.NoError(env.t, json.Unmarshal(rows[0].Value, &out))
	return out
}

// runJobsWithFailingWorker runs jobs in a place where every task on one worker
// fails at once. It returns the number of failed jobs and of restarts.
func runJobsWithFailingWorker(t *testing.T, quarantine bool) (failed, restarts int) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		defer env.startHost(controller.WithQuarantine(quarantine))()
		require.NoError(t, env.workers.SetFailAll("w00", true))
		var ids []primrosespar.JobID
		for range 60 {
			ids = append(ids, env.submit("beta", 1, 8, 2*time.Minute, false))
			env.clock.Sleep(5 * time.Second)
		}
		for _, id := range ids {
			for start := env.clock.Now(); !env.gang(id).State.Ended(); env.clock.Sleep(time.Second) {
				require.Less(t, env.clock.Since(start), time.Hour)
			}
			if env.gang(id).State == primrosespar.GangFailed {
				failed++
			}
			restarts += int(env.gang(id).Attempt) - 1
		}
		env.checkInvariants()
	})
	return failed, restarts
}

// TestFailingWorkerIsQuarantined guards against a faulty worker that is always
// free, because its tasks fail at once, and so fails most of the place's jobs.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	failed, restarts := runJobsWithFailingWorker(t, true)
	failedWithout, restartsWithout := runJobsWithFailingWorker(t, false)
	t.Logf("failed %d, restarted %d; without quarantine %d and %d", failed, restarts, failedWithout, restartsWithout)
	// Three failed jobs start a quarantine. In the five minutes of submissions
	// it ends at most four times, each time with a probe by one job.
	const maxExposed = 3 + 4
	require.LessOrEqual(t, failed, maxExposed)
	require.LessOrEqual(t, restarts, 2*maxExposed)
	require.Greater(t, failedWithout, maxExposed)
	require.Greater(t, restartsWithout, 2*maxExposed)
}

// TestAtMostOneFifthIsQuarantined guards against a fault of all workers that
// takes the whole place out of service, and against a new lease holder that
// loses the quarantines.
func TestAtMostOneFifthIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		kill := env.startHost()
		for i := range 16 {
			require.NoError(t, env.workers.SetFailAll(primrosespar.Worker(fmt.Sprintf("w%02d", i)), true))
		}
		maxQuarantined := 0
		for range 60 {
			env.submit("beta", 1, 8, time.Minute, false)
			env.clock.Sleep(time.Second)
			maxQuarantined = max(maxQuarantined, len(env.storedQuarantines()))
		}
		require.Equal(t, 16/5, maxQuarantined)
		require.NotZero(t, env.decisions.count(primrosespar.DecisionQuarantine, primrosespar.CodeWorkerQuarantined))
		before := env.storedQuarantines()
		kill()
		env.clock.Sleep(time.Minute)
		require.Equal(t, before, env.storedQuarantines())
		defer env.startHost()()
		for i := range 16 {
			require.NoError(t, env.workers.SetFailAll(primrosespar.Worker(fmt.Sprintf("w%02d", i)), false))
		}
		env.clock.Sleep(8 * time.Second)
		id := env.submit("beta", 10, 8, 5*time.Second, false)
		env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		for _, s := range env.gang(id).Slices {
			for _, e := range before {
				require.NotEqual(t, e.Worker, s.Worker, "a quarantined worker got work after the lease holder changed")
			}
		}
		env.checkInvariants()
	})
}

// TestFailingJobQuarantinesNoWorker guards against the quarantine of healthy
// workers because of a job that fails wherever it runs.
func TestFailingJobQuarantinesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		defer env.startHost()()
		id := env.submitWork("beta", 8, 8, 5*time.Second, false, true)
		env.awaitState(id, primrosespar.GangFailed, time.Minute)
		env.clock.Sleep(time.Minute)
		require.Empty(t, env.storedQuarantines())
		require.Zero(t, env.decisions.count(primrosespar.DecisionQuarantine, primrosespar.CodeWorkerQuarantined))
		env.checkInvariants()
	})
}
