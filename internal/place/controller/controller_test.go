package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/planner"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const (
	place = primrosespar.Place("burnie-a")
	// maxPartialTime is how long a gang may be partial because a member's
	// worker cannot be reached (section 8.5 of docs/design.md).
	maxPartialTime = 15 * time.Second
	// maxUrgentStart is the time within which an urgent claim must run.
	maxUrgentStart = 9300 * time.Millisecond
)

// fakeContracts is a contract source with two accounts: alpha has a guarantee
// of a whole rack, beta has none and only borrows.
type fakeContracts struct{}

func (fakeContracts) Current() bool { return true }

func (fakeContracts) View() (primrosespar.ContractView, time.Duration) {
	gang := primrosespar.ClassTerms{
		Class: "allotment", Kind: primrosespar.KindGang, Idempotent: true, Preemptible: true,
		Urgent: true, Deadline: time.Hour, LatenessCost: 100, Concurrency: 100, Queue: 1000, RatePerSecond: 100, Burst: 100,
	}
	terms := func(name primrosespar.Account) primrosespar.VersionedContract {
		return primrosespar.VersionedContract{Version: 1, Contract: primrosespar.Contract{
			Account: name, Weight: 1, MaxAccelerators: 128, Retention: time.Hour,
			Places: []primrosespar.PlaceShare{{Place: place, Share: 1}}, Classes: []primrosespar.ClassTerms{gang},
		}}
	}
	alpha, beta := terms("alpha"), terms("beta")
	alpha.Contract.Guarantees = []primrosespar.Guarantee{{Place: place, Block: 64, Count: 1}}
	return primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{alpha, beta}}, 0
}

// decisionCounter counts the decision records of each kind and code.
type decisionCounter struct {
	mu     sync.Mutex
	counts map[primrosespar.DecisionKind]map[primrosespar.Code]int
}

func (r *decisionCounter) Record(d primrosespar.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[d.Kind] == nil {
		r.counts[d.Kind] = map[primrosespar.Code]int{}
	}
	r.counts[d.Kind][d.Code]++
}

func (r *decisionCounter) count(kind primrosespar.DecisionKind, code primrosespar.Code) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[kind][code]
}

// testEnv is one place with its workers and table in a synctest bubble.
type testEnv struct {
	t         *testing.T
	clock     clockwork.Clock
	table     *keeper.Keeper
	workers   *executor.Executor
	jobs      *submitter.Submitter
	decisions *decisionCounter
	hosts     int
}

// newTestEnv returns a place with the given number of racks of 8 workers each
// and without hosts.
func newTestEnv(t *testing.T, racks int) *testEnv {
	clock := clockwork.NewRealClock()
	env := &testEnv{
		t: t, clock: clock, decisions: &decisionCounter{counts: map[primrosespar.DecisionKind]map[primrosespar.Code]int{}},
		table:   keeper.New(keeper.WithClock(clock)),
		workers: executor.New(executor.WithClock(clock)),
	}
	for i := range racks * 8 {
		env.workers.Add(primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w%02d", i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("rack-%d", i/8)), Position: i % 8,
			Cores: 60, MemoryBytes: 130 << 30, Accelerators: 8, Alive: true,
		})
	}
	env.jobs = submitter.New(env.table, fakeContracts{}, clock)
	return env
}

// startHost starts a host of the place; the returned function kills it.
func (env *testEnv) startHost(opts ...controller.Option) context.CancelFunc {
	env.hosts++
	name := fmt.Sprintf("host-%d", env.hosts)
	ctx, cancel := context.WithCancel(env.t.Context())
	c := controller.New(controller.Parts{
		Place: place, Host: primrosespar.Host(name), Table: env.table, Workers: env.workers, Clock: env.clock,
		Lease: leaser.New(env.table, env.clock, leaser.Identity{
			Place: place, Host: primrosespar.Host(name), Incarnation: primrosespar.Incarnation(name),
		}),
		Contracts: fakeContracts{}, Recorder: env.decisions,
		Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) },
	}, opts...)
	go func() { _ = c.Run(ctx) }()
	return cancel
}

// submit submits a job whose tasks succeed.
func (env *testEnv) submit(account primrosespar.Account, members, block int, runTime time.Duration, claim bool) primrosespar.JobID {
	return env.submitWork(account, members, block, runTime, claim, false)
}

// submitWork submits a job; with fail, all its tasks fail.
func (env *testEnv) submitWork(account primrosespar.Account, members, block int, runTime time.Duration, claim, fail bool) primrosespar.JobID {
	payload, err := json.Marshal(struct {
		RunTime int64 `json:"run_time_ms"`
		Members int   `json:"members"`
		Fail    bool  `json:"fail"`
	}{runTime.Milliseconds(), members, fail})
	require.NoError(env.t, err)
	g, _, err := env.jobs.Submit(env.t.Context(), primrosespar.Job{
		Account: account, Class: "allotment", Place: place, Claim: claim, Declared: runTime, Payload: payload,
		Shape: primrosespar.Shape{Members: members, Block: block, Cores: 1, MemoryBytes: 1 << 30},
	}, "")
	require.NoError(env.t, err)
	return g.Job.ID
}

// gang returns the job's row.
func (env *testEnv) gang(id primrosespar.JobID) primrosespar.Gang {
	g, err := env.jobs.Show(env.t.Context(), id)
	require.NoError(env.t, err)
	return g
}

// awaitState waits until the job is in the state and returns how long that
// took. It fails the test after the limit.
func (env *testEnv) awaitState(id primrosespar.JobID, state primrosespar.GangState, limit time.Duration) time.Duration {
	start := env.clock.Now()
	for env.gang(id).State != state {
		require.Less(env.t, env.clock.Since(start), limit, "job %s is %s and not %s", id, env.gang(id).State, state)
		env.clock.Sleep(100 * time.Millisecond)
	}
	return env.clock.Since(start)
}

// checkInvariants checks that no gang was partial for too long and that no task
// was started on an accelerator that another task had.
func (env *testEnv) checkInvariants() executor.Summary {
	summary := env.workers.Summary(maxPartialTime)
	require.Zero(env.t, summary.GangsPartial, "partial gangs: %v", summary.Partial)
	require.Zero(env.t, env.workers.Counts().DoubleStarts)
	return summary
}

// TestWholeRackGangCompletes guards against a gang of a whole rack that never
// starts or whose end goes unnoticed.
func TestWholeRackGangCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		defer env.startHost()()
		id := env.submit("beta", 8, 8, time.Minute, false)
		env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		env.awaitState(id, primrosespar.GangDone, 70*time.Second)
		require.Equal(t, 1, env.checkInvariants().GangsStarted)
	})
}

// TestClaimReclaimsBorrowedRack guards against a claim that starts late, or
// that preempts more than it needs, when another account has borrowed all
// racks.
func TestClaimReclaimsBorrowedRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		defer env.startHost()()
		borrowers := []primrosespar.JobID{env.submit("beta", 8, 8, time.Hour, false), env.submit("beta", 8, 8, time.Hour, false)}
		for _, id := range borrowers {
			env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		}
		claim := env.submit("alpha", 1, 64, time.Minute, true)
		require.LessOrEqual(t, env.awaitState(claim, primrosespar.GangRunning, time.Minute), maxUrgentStart)
		preempted := 0
		for _, id := range borrowers {
			preempted += env.gang(id).Preemptions
		}
		require.Equal(t, 1, preempted)
		env.checkInvariants()
	})
}

// TestGangSurvivesControllerFailover guards against a change of lease holder
// that stops or restarts running gangs.
func TestGangSurvivesControllerFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		kill := env.startHost()
		id := env.submit("beta", 8, 8, time.Minute, false)
		env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		defer env.startHost()()
		kill()
		env.awaitState(id, primrosespar.GangDone, 80*time.Second)
		require.Equal(t, uint64(1), env.gang(id).Attempt)
		env.checkInvariants()
	})
}

// TestGangSurvivesTableOutage guards against worker leases that expire, and so
// stop gangs, during a table outage.
func TestGangSurvivesTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		defer env.startHost()()
		id := env.submit("beta", 8, 8, 2*time.Minute, false)
		env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		env.table.SetFaults(keeper.Faults{Outage: true})
		env.clock.Sleep(time.Minute)
		env.table.SetFaults(keeper.Faults{})
		env.awaitState(id, primrosespar.GangDone, 80*time.Second)
		require.Equal(t, uint64(1), env.gang(id).Attempt)
		env.checkInvariants()
	})
}

// TestJobsSurviveConcurrentFaults guards against partial gangs, doubly
// allocated accelerators and lost jobs when lost responses of the table,
// crashes of workers and hosts, and cancellations happen together.
func TestJobsSurviveConcurrentFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		kill := env.startHost()
		env.table.SetFaults(keeper.Faults{LoseEvery: 4})
		var ids []primrosespar.JobID
		for i := range 40 {
			env.table.SetFaults(keeper.Faults{})
			ids = append(ids, env.submit("beta", 1+i%8, 1<<(i%4), time.Duration(5+i)*time.Second, false))
			env.table.SetFaults(keeper.Faults{LoseEvery: 3 + i%3})
			env.clock.Sleep(time.Second)
			worker := primrosespar.Worker(fmt.Sprintf("w%02d", i%16))
			switch i % 10 {
			case 3:
				require.NoError(t, env.workers.Kill(worker))
			case 6:
				kill()
				kill = env.startHost()
			case 8:
				require.NoError(t, env.workers.Restore(primrosespar.Worker(fmt.Sprintf("w%02d", (i-5)%16))))
				_ = env.jobs.Cancel(t.Context(), ids[i/2])
			}
		}
		env.table.SetFaults(keeper.Faults{})
		for _, id := range ids {
			start := env.clock.Now()
			for !env.gang(id).State.Ended() {
				require.Less(t, env.clock.Since(start), 10*time.Minute, "job %s is %s", id, env.gang(id).State)
				env.clock.Sleep(time.Second)
			}
			require.NotEqual(t, primrosespar.GangFailed, env.gang(id).State)
		}
		kill()
		env.checkInvariants()
	})
}
