package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/quarantiner"
)

func worker(i int) primrosespar.Worker { return primrosespar.Worker(fmt.Sprintf("w-%02d", i)) }

func job(i int) primrosespar.JobID { return primrosespar.JobID(fmt.Sprintf("j-%d", i)) }

// report reports the same outcome for the jobs from first to last.
func report(q *quarantiner.Quarantiner, w, first, last int, failed bool) {
	for i := first; i <= last; i++ {
		q.Report(quarantiner.Outcome{Worker: worker(w), Job: job(i), Failed: failed})
	}
}

// TestProbeAndGrowingQuarantine guards against a bad worker that runs more than
// one task between quarantines, and against a repaired one that never returns.
func TestProbeAndGrowingQuarantine(t *testing.T) {
	q := quarantiner.New()
	q.SetWorkers(10)
	now := time.Unix(0, 0)
	report(q, 1, 1, 3, true)
	require.Equal(t, []quarantiner.Change{{Worker: worker(1), Quarantined: true}}, q.Advance(now))
	require.Empty(t, q.Advance(now.Add(29*time.Second)))
	now = now.Add(30 * time.Second)
	require.Equal(t, []quarantiner.Change{{Worker: worker(1), Quarantined: false}}, q.Advance(now))
	require.True(t, q.Probing(worker(1)))
	report(q, 1, 4, 4, true)
	require.Len(t, q.Advance(now), 1)
	require.Equal(t, time.Minute, q.Entries(now)[0].Remaining)
	now = now.Add(time.Minute)
	q.Advance(now)
	report(q, 1, 5, 5, false)
	require.Empty(t, q.Advance(now))
	require.False(t, q.Probing(worker(1)))
}

// TestQuarantinedShareIsBounded guards against putting all workers into
// quarantine because of a common fault.
func TestQuarantinedShareIsBounded(t *testing.T) {
	q := quarantiner.New()
	q.SetWorkers(17)
	now := time.Unix(0, 0)
	for w := range 17 {
		report(q, w, 100*w, 100*w+5, true)
	}
	require.Len(t, q.Advance(now), 3)
	require.Empty(t, q.Advance(now))
}

// TestImpossibleJobs guards against blaming workers for jobs that fail on all
// of them, even if several such jobs follow each other.
func TestImpossibleJobs(t *testing.T) {
	q := quarantiner.New()
	q.SetWorkers(10)
	now := time.Unix(0, 0)
	for w := range 10 {
		report(q, w, 1000+w, 1000+w, false)
	}
	for j := range 5 {
		for w := range 10 {
			report(q, w, j, j, true)
			require.Empty(t, q.Advance(now))
		}
	}
}

// TestBlameIsWithdrawn guards against keeping a worker in quarantine for jobs
// that later fail on other workers too.
func TestBlameIsWithdrawn(t *testing.T) {
	q := quarantiner.New()
	q.SetWorkers(10)
	now := time.Unix(0, 0)
	report(q, 1, 1, 3, true)
	require.Len(t, q.Advance(now), 1)
	report(q, 2, 1, 3, true)
	report(q, 3, 1, 3, true)
	require.Equal(t, []quarantiner.Change{{Worker: worker(1), Quarantined: false}}, q.Advance(now))
}

// TestFormerlyHealthyWorkerIsBlamed guards against a worker that is never
// blamed because it worked before: jobs that succeed on other workers count
// against it.
func TestFormerlyHealthyWorkerIsBlamed(t *testing.T) {
	q := quarantiner.New()
	q.SetWorkers(10)
	now := time.Unix(0, 0)
	report(q, 1, 1, 1, false)
	report(q, 1, 2, 8, true)
	report(q, 2, 2, 8, false)
	require.Len(t, q.Advance(now), 1)
}
