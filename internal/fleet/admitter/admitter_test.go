package admitter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/admitter"
)

// workers returns workers with 8 accelerators each, the first of which has a
// label.
func workers(count int) []primrosespar.WorkerInfo {
	var infos []primrosespar.WorkerInfo
	for i := range count {
		infos = append(infos, primrosespar.WorkerInfo{
			Worker: primrosespar.Worker(fmt.Sprintf("w%d", i)), Service: "pool",
			Capacity: primrosespar.Resources{Millicores: 32000, MemoryMiB: 1 << 17, Accelerators: 8},
		})
	}
	infos[0].Labels = []string{"near"}
	return infos
}

// observe lets the admitter read lists of that many workers until it takes them
// for all.
func observe(a *admitter.Admitter, count int) {
	for range 10 {
		a.Observe(workers(count))
	}
}

// TestOnlyImpossibleJobsAreRejected guards against a job that waits until its
// caller gives up, and against one that is rejected though it could run.
func TestOnlyImpossibleJobsAreRejected(t *testing.T) {
	step := func(accelerators int, change func(*primrosespar.Step)) primrosespar.Step {
		s := primrosespar.Step{Count: 4, Need: primrosespar.Resources{Accelerators: accelerators}}
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		step       primrosespar.Step
		impossible bool
	}{
		"gang that fills the service":  {step(8, func(s *primrosespar.Step) { s.Gang = true }), false},
		"gang beyond the service":      {step(8, func(s *primrosespar.Step) { s.Gang, s.Count = true, 5 }), true},
		"tasks one after the other":    {step(8, func(s *primrosespar.Step) { s.Count = 500 }), false},
		"task beyond a worker":         {step(9, func(*primrosespar.Step) {}), true},
		"gang of small tasks":          {step(1, func(s *primrosespar.Step) { s.Gang, s.Count = true, 32 }), false},
		"gang with a limit per worker": {step(1, func(s *primrosespar.Step) { s.Gang, s.Count, s.PerWorker = true, 5, 1 }), true},
		"label of one worker":          {step(1, func(s *primrosespar.Step) { s.Gang, s.Label = true, "near" }), false},
		"label of one worker, gang":    {step(8, func(s *primrosespar.Step) { s.Gang, s.Label = true, "near" }), true},
		"label of no worker":           {step(1, func(s *primrosespar.Step) { s.Label = "far" }), true},
	} {
		a := admitter.New()
		job := primrosespar.Submission{Steps: []primrosespar.Step{{Count: 1}, c.step}}
		require.NoError(t, a.Check(job, "pool"), "%s: no workers are known", name)
		a.Observe(workers(4))
		require.NoError(t, a.Check(job, "pool"), "%s: workers may be missing in the first list", name)
		observe(a, 4)
		require.NoError(t, a.Check(job, "other"), name)
		code := primrosespar.CodeOK
		if c.impossible {
			code = primrosespar.CodeImpossibleShape
		}
		require.Equal(t, code, primrosespar.CodeOf(a.Check(job, "pool")), name)
		job.Repeat.Count = 2
		require.NoError(t, a.Check(job, "pool"), "%s: repeated", name)
	}
}

// TestNothingIsRejectedWhileWorkersAreAway guards against a job that is rejected
// because workers restart.
func TestNothingIsRejectedWhileWorkersAreAway(t *testing.T) {
	a := admitter.New()
	observe(a, 4)
	large := primrosespar.Submission{Steps: []primrosespar.Step{{Count: 4, Gang: true, Need: primrosespar.Resources{Accelerators: 8}}}}
	require.NoError(t, a.Check(large, "pool"))
	observe(a, 3)
	require.NoError(t, a.Check(large, "pool"))
	large.Steps[0].Count = 5
	require.NoError(t, a.Check(large, "pool"))
	a.Observe(workers(4))
	require.NoError(t, a.Check(large, "pool"))
	observe(a, 4)
	require.Error(t, a.Check(large, "pool"))
}

// TestNothingIsRejectedAfterAWorkerHasChanged guards against a job that is
// rejected because a worker came back as another kind for a while.
func TestNothingIsRejectedAfterAWorkerHasChanged(t *testing.T) {
	a := admitter.New()
	observe(a, 4)
	near := primrosespar.Submission{Steps: []primrosespar.Step{{Count: 1, Label: "near"}}}
	changed := workers(4)
	changed[0].Labels = nil
	a.Observe(changed)
	require.NoError(t, a.Check(near, "pool"))
	for range 10 {
		a.Observe(changed)
	}
	require.Error(t, a.Check(near, "pool"))
}
