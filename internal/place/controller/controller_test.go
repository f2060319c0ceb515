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
	// partialBound is the time that design.md, section 8.5, allows for a
	// member on a worker that cannot be reached.
	partialBound = 15 * time.Second
	// urgentBound is the time within which urgent work starts.
	urgentBound = 9300 * time.Millisecond
)

// contracts are two accounts: alpha holds a guarantee of a whole rack, beta
// only borrows.
type contracts struct{}

func (contracts) Current() bool { return true }

func (contracts) View() (primrosespar.ContractView, time.Duration) {
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

// records counts the decision records of each kind and code.
type records struct {
	mu     sync.Mutex
	counts map[primrosespar.DecisionKind]map[primrosespar.Code]int
}

func (r *records) Record(d primrosespar.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[d.Kind] == nil {
		r.counts[d.Kind] = map[primrosespar.Code]int{}
	}
	r.counts[d.Kind][d.Code]++
}

func (r *records) count(kind primrosespar.DecisionKind, code primrosespar.Code) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[kind][code]
}

// world is one place with its workers and table, inside a synctest bubble.
type world struct {
	t       *testing.T
	clock   clockwork.Clock
	table   *keeper.Keeper
	workers *executor.Executor
	jobs    *submitter.Submitter
	records *records
	hosts   int
}

func newWorld(t *testing.T, racks int) *world {
	clock := clockwork.NewRealClock()
	w := &world{
		t: t, clock: clock, records: &records{counts: map[primrosespar.DecisionKind]map[primrosespar.Code]int{}},
		table:   keeper.New(keeper.WithClock(clock)),
		workers: executor.New(executor.WithClock(clock)),
	}
	for i := range racks * 8 {
		w.workers.Add(primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w%02d", i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("rack-%d", i/8)), Position: i % 8,
			Cores: 60, MemoryBytes: 130 << 30, Accelerators: 8, Alive: true,
		})
	}
	w.jobs = submitter.New(w.table, contracts{}, clock)
	return w
}

// host starts a host of the place; the returned function kills it.
func (w *world) host(opts ...controller.Option) context.CancelFunc {
	w.hosts++
	name := fmt.Sprintf("host-%d", w.hosts)
	ctx, cancel := context.WithCancel(w.t.Context())
	r := controller.New(controller.Parts{
		Place: place, Host: primrosespar.Host(name), Table: w.table, Workers: w.workers, Clock: w.clock,
		Lease: leaser.New(w.table, w.clock, leaser.Identity{
			Place: place, Host: primrosespar.Host(name), Incarnation: primrosespar.Incarnation(name),
		}),
		Contracts: contracts{}, Recorder: w.records,
		Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) },
	}, opts...)
	go func() { _ = r.Run(ctx) }()
	return cancel
}

func (w *world) submit(account primrosespar.Account, members, block int, runTime time.Duration, claim bool) primrosespar.JobID {
	return w.submitWork(account, members, block, runTime, claim, false)
}

func (w *world) submitWork(account primrosespar.Account, members, block int, runTime time.Duration, claim, fail bool) primrosespar.JobID {
	work, err := json.Marshal(struct {
		RunTime int64 `json:"run_time_ms"`
		Members int   `json:"members"`
		Fail    bool  `json:"fail"`
	}{runTime.Milliseconds(), members, fail})
	require.NoError(w.t, err)
	g, _, err := w.jobs.Submit(w.t.Context(), primrosespar.Job{
		Account: account, Class: "allotment", Place: place, Claim: claim, Declared: runTime, Work: work,
		Shape: primrosespar.Shape{Members: members, Block: block, Cores: 1, MemoryBytes: 1 << 30},
	}, "")
	require.NoError(w.t, err)
	return g.Job.ID
}

func (w *world) state(id primrosespar.JobID) primrosespar.Gang {
	g, err := w.jobs.Show(w.t.Context(), id)
	require.NoError(w.t, err)
	return g
}

// await waits until the job is in the state and returns how long it took.
func (w *world) await(id primrosespar.JobID, state primrosespar.GangState, limit time.Duration) time.Duration {
	start := w.clock.Now()
	for w.state(id).State != state {
		require.Less(w.t, w.clock.Since(start), limit, "job %s is %s and not %s", id, w.state(id).State, state)
		w.clock.Sleep(100 * time.Millisecond)
	}
	return w.clock.Since(start)
}

func (w *world) verdict() executor.Summary {
	v := w.workers.Summary(partialBound)
	require.Zero(w.t, v.GangsPartial, "partial gangs: %v", v.Partial)
	require.Zero(w.t, w.workers.Counts().DoubleStarts)
	return v
}

// TestWholeRackGangRunsToItsEnd guards against a gang that never starts or
// whose end is not noticed.
func TestWholeRackGangRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.host()()
		id := w.submit("beta", 8, 8, time.Minute, false)
		w.await(id, primrosespar.GangRunning, 10*time.Second)
		w.await(id, primrosespar.GangDone, 70*time.Second)
		require.Equal(t, 1, w.verdict().GangsStarted)
	})
}

// TestClaimReclaimsBorrowedRack guards against a guarantee that is late when
// other accounts fill the racks.
func TestClaimReclaimsBorrowedRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.host()()
		lent := []primrosespar.JobID{w.submit("beta", 8, 8, time.Hour, false), w.submit("beta", 8, 8, time.Hour, false)}
		for _, id := range lent {
			w.await(id, primrosespar.GangRunning, 10*time.Second)
		}
		claim := w.submit("alpha", 1, 64, time.Minute, true)
		require.LessOrEqual(t, w.await(claim, primrosespar.GangRunning, time.Minute), urgentBound)
		preempted := 0
		for _, id := range lent {
			preempted += w.state(id).Preemptions
		}
		require.Equal(t, 1, preempted)
		w.verdict()
	})
}

// TestGangOutlivesItsScheduler guards against a change of holder that stops or
// restarts what runs.
func TestGangOutlivesItsScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		kill := w.host()
		id := w.submit("beta", 8, 8, time.Minute, false)
		w.await(id, primrosespar.GangRunning, 10*time.Second)
		defer w.host()()
		kill()
		w.await(id, primrosespar.GangDone, 80*time.Second)
		require.Equal(t, uint64(1), w.state(id).Attempt)
		w.verdict()
	})
}

// TestGangOutlivesTableOutage guards against worker leases that depend on the
// table.
func TestGangOutlivesTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.host()()
		id := w.submit("beta", 8, 8, 2*time.Minute, false)
		w.await(id, primrosespar.GangRunning, 10*time.Second)
		w.table.SetFaults(keeper.Faults{Outage: true})
		w.clock.Sleep(time.Minute)
		w.table.SetFaults(keeper.Faults{})
		w.await(id, primrosespar.GangDone, 80*time.Second)
		require.Equal(t, uint64(1), w.state(id).Attempt)
		w.verdict()
	})
}

// TestJobsSurviveFaultsTogether guards against partial gangs, accelerators
// given twice and lost jobs while answers of the table are lost, workers and
// schedulers die and jobs are cancelled, all at once.
func TestJobsSurviveFaultsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		kill := w.host()
		w.table.SetFaults(keeper.Faults{LoseEvery: 4})
		var ids []primrosespar.JobID
		for i := range 40 {
			w.table.SetFaults(keeper.Faults{})
			ids = append(ids, w.submit("beta", 1+i%8, 1<<(i%4), time.Duration(5+i)*time.Second, false))
			w.table.SetFaults(keeper.Faults{LoseEvery: 3 + i%3})
			w.clock.Sleep(time.Second)
			worker := primrosespar.Worker(fmt.Sprintf("w%02d", i%16))
			switch i % 10 {
			case 3:
				require.NoError(t, w.workers.Kill(worker))
			case 6:
				kill()
				kill = w.host()
			case 8:
				require.NoError(t, w.workers.Restore(primrosespar.Worker(fmt.Sprintf("w%02d", (i-5)%16))))
				_ = w.jobs.Cancel(t.Context(), ids[i/2])
			}
		}
		w.table.SetFaults(keeper.Faults{})
		for _, id := range ids {
			start := w.clock.Now()
			for !w.state(id).State.Ended() {
				require.Less(t, w.clock.Since(start), 10*time.Minute, "job %s is %s", id, w.state(id).State)
				w.clock.Sleep(time.Second)
			}
			require.NotEqual(t, primrosespar.GangFailed, w.state(id).State)
		}
		kill()
		w.verdict()
	})
}
