package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/planner"
)

func startTime() time.Time { return time.Unix(1_000_000, 0) }

// newPlanner returns a planner for one rack of two workers with 8 accelerators
// each. Account a has the guarantees, account b has none.
func newPlanner(guarantees ...primrosespar.Guarantee) *planner.Planner {
	p := planner.New(planner.WithPlace(place))
	var entries []primrosespar.WorkerEntry
	for i := range 2 {
		entries = append(entries, primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%d", i)), Place: place, Rack: "r-0",
			Position: i, Cores: 16, MemoryBytes: 64, Accelerators: 8, Alive: true,
		})
	}
	p.SetWorkers(entries)
	contract := func(account primrosespar.Account, guarantees ...primrosespar.Guarantee) primrosespar.VersionedContract {
		return primrosespar.VersionedContract{Contract: primrosespar.Contract{
			Account: account, Weight: 1, MaxAccelerators: 64, Guarantees: guarantees,
			Classes: []primrosespar.ClassTerms{{Class: "c", Kind: primrosespar.KindGang, Preemptible: true}},
		}}
	}
	p.SetContracts(primrosespar.ContractView{Contracts: []primrosespar.VersionedContract{contract("a", guarantees...), contract("b")}})
	return p
}

func gangJob(id string, account primrosespar.Account, members, block int) primrosespar.Job {
	return primrosespar.Job{
		ID: primrosespar.JobID(id), Account: account, Class: "c", Place: place, Preemptible: true,
		Shape: primrosespar.Shape{Members: members, Block: block}, Declared: time.Hour, Deadline: 10 * time.Hour,
	}
}

func placements(plan primrosespar.Plan) []string {
	var out []string
	for _, placement := range plan.Placements {
		out = append(out, string(placement.Job))
	}
	return out
}

// TestCancellationWave guards against small jobs that take the accelerators
// freed by many cancellations ahead of an older large job.
func TestCancellationWave(t *testing.T) {
	p := newPlanner()
	for i := range 16 {
		require.NoError(t, p.Add(gangJob(fmt.Sprintf("running-%d", i), "b", 1, 1), startTime()))
	}
	require.Len(t, p.Plan(startTime()).Placements, 16)
	require.NoError(t, p.Add(gangJob("large", "b", 1, 16), startTime()))
	require.Empty(t, p.Plan(startTime()).Placements)
	for i := range 20 {
		small := gangJob(fmt.Sprintf("small-%d", i), "b", 1, 1)
		small.Deadline = time.Minute
		require.NoError(t, p.Add(small, startTime()))
	}
	for i := range 16 {
		p.Remove(primrosespar.JobID(fmt.Sprintf("running-%d", i)), primrosespar.GangCancelled, startTime())
	}
	require.Equal(t, []string{"large"}, placements(p.Plan(startTime())))
}

// TestBackfillNeedsReliableEstimate guards against delaying a blocked job by
// backfilling jobs whose run time is unknown, too long or was exceeded before.
func TestBackfillNeedsReliableEstimate(t *testing.T) {
	p := newPlanner()
	now := startTime()
	for i := range 10 {
		id := fmt.Sprintf("history-%d", i)
		require.NoError(t, p.Add(gangJob(id, "b", 1, 1), now))
		p.Plan(now)
		p.Remove(primrosespar.JobID(id), primrosespar.GangDone, now.Add(10*time.Minute))
	}
	blocker := gangJob("blocker", "a", 1, 8)
	require.NoError(t, p.Add(blocker, now))
	p.Plan(now)
	require.NoError(t, p.Add(gangJob("large", "a", 1, 16), now))
	p.Plan(now)
	require.NoError(t, p.Add(gangJob("unknown", "a", 1, 4), now))
	require.NoError(t, p.Add(gangJob("short", "b", 1, 4), now))
	plan := p.Plan(now)
	require.Equal(t, []string{"short"}, placements(plan))
	require.Equal(t, primrosespar.CodeBackfilled, plan.Placements[0].Reason)
	p.Requeue("short", now.Add(30*time.Minute))
	require.Empty(t, p.Plan(now.Add(30*time.Minute)).Placements, "a job that overran its estimate is backfilled again")
	now = now.Add(50 * time.Minute)
	require.NoError(t, p.Add(gangJob("late", "b", 1, 4), now))
	require.Empty(t, p.Plan(now).Placements)
	p.Remove("blocker", primrosespar.GangDone, now)
	require.Equal(t, "large", placements(p.Plan(now))[0])
}

// TestPreemptionLosesLeastWork guards against preempting the gang that loses
// more work, and against a claim that starts before its victim has stopped.
func TestPreemptionLosesLeastWork(t *testing.T) {
	p := newPlanner(primrosespar.Guarantee{Place: place, Block: 8, Count: 1})
	require.NoError(t, p.Add(gangJob("old", "b", 1, 8), startTime()))
	p.Plan(startTime())
	now := startTime().Add(time.Hour)
	require.NoError(t, p.Add(gangJob("new", "b", 1, 8), now))
	p.Plan(now)
	claim := gangJob("claim", "a", 2, 4)
	claim.Claim = true
	require.NoError(t, p.Add(claim, now))
	plan := p.Plan(now.Add(time.Minute))
	require.Empty(t, plan.Placements)
	require.Len(t, plan.Preemptions, 1)
	require.Equal(t, primrosespar.JobID("new"), plan.Preemptions[0].Victim)
	require.Equal(t, time.Minute, plan.Preemptions[0].LostWork)
	require.Empty(t, p.Plan(now).Placements)
	p.Requeue("new", now)
	require.Equal(t, []string{"claim"}, placements(p.Plan(now)))
}

// TestImpossibleJobs guards against queueing jobs that can never run.
func TestImpossibleJobs(t *testing.T) {
	p := newPlanner(primrosespar.Guarantee{Place: place, Block: 8, Count: 1})
	requireRefused := func(code primrosespar.Code, message string, change func(*primrosespar.Job)) {
		job := gangJob("j", "a", 1, 4)
		change(&job)
		err := p.Add(job, startTime())
		require.Equal(t, code, primrosespar.CodeOf(err))
		require.ErrorContains(t, err, message)
	}
	requireRefused(primrosespar.CodeQuotaExceeded, "max_accelerators 64", func(j *primrosespar.Job) { j.Shape.Members = 17 })
	requireRefused(primrosespar.CodeImpossibleShape, "has 0 blocks of 32", func(j *primrosespar.Job) { j.Shape.Block = 32 })
	requireRefused(primrosespar.CodeImpossibleShape, "guarantee has 2", func(j *primrosespar.Job) { j.Claim, j.Shape.Members = true, 3 })
	requireRefused(primrosespar.CodeImpossibleShape, "guarantees leave", func(j *primrosespar.Job) { j.Preemptible, j.Shape.Members = false, 3 })
	requireRefused(primrosespar.CodeImpossibleShape, "at most 16 cores", func(j *primrosespar.Job) { j.Shape.Cores = 17 })
	requireRefused(primrosespar.CodeImpossibleShape, "at most 8 cores", func(j *primrosespar.Job) { j.Claim, j.Shape.Cores = true, 9 })
}

// TestLearnedSizeBounds guards against overfilling the memory of a worker with
// jobs that declare too little.
func TestLearnedSizeBounds(t *testing.T) {
	p := newPlanner()
	for i := range 8 {
		id := primrosespar.JobID(fmt.Sprintf("history-%d", i))
		require.NoError(t, p.Add(gangJob(string(id), "b", 1, 1), startTime()))
		worker := p.Plan(startTime()).Placements[0].Slices[0].Worker
		p.SetWorkers([]primrosespar.WorkerEntry{{
			Worker: worker, Place: place, Rack: "r-0", Position: int(worker[2] - '0'), Cores: 16, MemoryBytes: 64, Accelerators: 8, Alive: true,
			Tasks: []primrosespar.TaskStatus{{Gang: id, State: primrosespar.TaskRunning, UsedMemoryBytes: 30}},
		}})
		p.Remove(id, primrosespar.GangDone, startTime().Add(time.Hour))
	}
	for i := range 8 {
		require.NoError(t, p.Add(gangJob(fmt.Sprintf("j-%d", i), "b", 1, 1), startTime()))
	}
	require.Len(t, p.Plan(startTime()).Placements, 4, "two jobs of 30 bytes fit a worker of 64")
}

// TestShortfallIsReported guards against a shortfall of guaranteed blocks that
// the state does not show, and against placing a claim despite the shortfall.
func TestShortfallIsReported(t *testing.T) {
	p := newPlanner(primrosespar.Guarantee{Place: place, Block: 8, Count: 2})
	p.SetQuarantined("w-0", true)
	state := p.State()
	require.Equal(t, 1, state.Quarantined)
	require.Equal(t, []primrosespar.GuaranteeState{{Account: "a", Block: 8, Count: 2, Claimable: 1}}, state.Guarantees)
	claim := gangJob("claim", "a", 2, 8)
	claim.Claim = true
	require.NoError(t, p.Add(claim, startTime()))
	require.Equal(t, primrosespar.CodeGuaranteeShort, p.Plan(startTime()).Waits[0].Reason)
	p.SetQuarantined("w-0", false)
	require.Equal(t, []string{"claim"}, placements(p.Plan(startTime())))
}

// TestTakeoverKeepsBinding guards against a new holder that binds a claim to
// another guaranteed block than the one it was placed in.
func TestTakeoverKeepsBinding(t *testing.T) {
	guarantees := []primrosespar.Guarantee{{Place: place, Block: 4, Count: 1}, {Place: place, Block: 8, Count: 1}}
	p := newPlanner(guarantees...)
	jobs := map[primrosespar.JobID]primrosespar.Job{}
	for _, id := range []string{"first", "second"} {
		claim := gangJob(id, "a", 1, 4)
		claim.Claim = true
		jobs[claim.ID] = claim
		require.NoError(t, p.Add(claim, startTime()))
	}
	plan := p.Plan(startTime())
	require.Len(t, plan.Placements, 2)
	second := plan.Placements[1]
	p.Remove("first", primrosespar.GangDone, startTime())
	before := p.State().Guarantees
	require.Equal(t, 1, before[1].Claimed, "the second claim is in the larger block")
	next := newPlanner(guarantees...)
	next.Restore(primrosespar.Gang{
		Job: jobs[second.Job], State: primrosespar.GangRunning, Attempt: 1, Slices: second.Slices, Bindings: second.Bindings,
	}, startTime())
	require.Equal(t, before, next.State().Guarantees)
}
