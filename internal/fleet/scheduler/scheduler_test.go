package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Names and sizes of the small fleet of the tests.
const (
	service   = primrosespar.Service("pool")
	perRack   = 4
	leaseTime = 6 * time.Second
)

// rig drives a Scheduler with two racks of workers of 8 accelerators.
type rig struct {
	t       *testing.T
	s       *scheduler.Scheduler
	now     time.Time
	members []primrosespar.WorkerInfo
	records map[primrosespar.JobID]scheduler.Record
}

// newRig returns a rig whose workers have answered a look.
func newRig(t *testing.T, racks int, opts ...scheduler.Option) *rig {
	r := &rig{
		t: t, now: time.Unix(1_000_000, 0), s: scheduler.New(opts...),
		records: map[primrosespar.JobID]scheduler.Record{},
	}
	for i := range racks * perRack {
		r.members = append(r.members, primrosespar.WorkerInfo{
			Worker: primrosespar.Worker(fmt.Sprintf("w%02d", i)), Service: service, StartedAt: time.Unix(1000, 0),
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)),
			Place:   "east", Rack: primrosespar.Rack(fmt.Sprintf("r%d", i/perRack)),
			Capacity: primrosespar.Resources{Millicores: 64000, MemoryMiB: 131072, Accelerators: 8},
		})
	}
	r.s.SetCatalog(testCatalog())
	r.s.SetWorkers(r.members, r.now)
	return r
}

// testCatalog has an urgent queue and a plain one, and reserves 16
// accelerators for one account.
func testCatalog() *primrosespar.Catalog {
	return &primrosespar.Catalog{
		Version: 1,
		Queues: []primrosespar.QueueTerms{
			{Queue: "urgent", Service: service, Priority: 0, Attempts: 2, Slack: 1.5, Target: time.Second},
			{Queue: "plain", Service: service, Priority: 1, Attempts: 2, Slack: 3, Target: time.Second},
		},
		Contracts: []primrosespar.Contract{{Account: "nord", Reserved: 16}, {Account: "sud"}},
	}
}

// look lets a worker answer with what it holds.
func (r *rig) look(i int, active []primrosespar.ActiveRun, ended ...primrosespar.EndedRun) {
	r.s.Report(r.members[i].Worker, primrosespar.WorkerReport{
		StartedAt: r.members[i].StartedAt, Active: active, Ended: ended,
	}, r.now, r.now.Add(leaseTime), r.now)
}

// lookAll lets all workers answer that they hold nothing.
func (r *rig) lookAll() {
	for i := range r.members {
		r.look(i, nil)
	}
}

// plan plans and keeps the records.
func (r *rig) plan() scheduler.Changes {
	changes := r.s.Plan(r.now)
	for _, record := range changes.Records {
		if record.Submission == nil {
			record.Submission = r.records[record.Job].Submission
		}
		r.records[record.Job] = record
	}
	return changes
}

// started answers all starts with success.
func (r *rig) started(orders []scheduler.Order) {
	for _, o := range orders {
		r.s.Started(o, primrosespar.CodeOK, r.now)
	}
}

// begin hands a job in and lets its starts succeed.
func (r *rig) begin(sub primrosespar.Submission) []scheduler.Order {
	r.s.Submit(sub, r.now)
	starts := r.plan().Starts
	r.started(starts)
	return starts
}

// job returns a job of one step.
func job(id string, queue primrosespar.Queue, step primrosespar.Step) primrosespar.Submission {
	if step.Estimate == 0 {
		step.Estimate = 5 * time.Second
	}
	return primrosespar.Submission{
		ID: primrosespar.JobID(id), Queue: queue, Account: "nord", Spec: "spec", Steps: []primrosespar.Step{step},
	}
}

// gpus returns a need of accelerators.
func gpus(n int) primrosespar.Resources {
	return primrosespar.Resources{Millicores: 1000, MemoryMiB: 1000, Accelerators: n}
}

// index returns the number of a worker.
func (r *rig) index(w primrosespar.Worker) int {
	for i, m := range r.members {
		if m.Worker == w {
			return i
		}
	}
	r.t.Fatalf("unknown worker %s", w)
	return 0
}

// TestNewHolderKeepsRunsOfEarlierOne guards against a second run of a task
// whose first run an earlier holder started: the first look at a worker under
// a new token must not make its lease look over.
func TestNewHolderKeepsRunsOfEarlierOne(t *testing.T) {
	first := newRig(t, 1)
	first.lookAll()
	first.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), first.now)
	starts := first.plan().Starts
	require.Len(t, starts, 1)

	second := newRig(t, 1)
	record := first.records["a"]
	second.s.Restore(*record.Submission, record.Progress, second.now)
	second.s.SetWorkers(second.members, second.now)
	at := second.index(starts[0].Worker)
	for i := range second.members {
		if i != at {
			second.look(i, nil)
		}
	}
	// The first look carries no lease.
	second.s.Report(starts[0].Worker, primrosespar.WorkerReport{
		StartedAt: second.members[at].StartedAt,
		Active:    []primrosespar.ActiveRun{{Run: starts[0].Run}},
	}, second.now, time.Time{}, second.now)
	second.now = second.now.Add(100 * time.Millisecond)
	require.Empty(t, second.plan().Starts)
}

// TestLostWorkerWaitsForItsLease guards against two runs of one task at once:
// a worker that does not answer may go on until its lease has lapsed.
func TestLostWorkerWaitsForItsLease(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	// What an earlier holder may have started has lapsed by then.
	r.now = r.now.Add(scheduler.DefaultTakeover)
	starts := r.begin(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}))
	require.Len(t, starts, 1)
	lapse := r.now.Add(leaseTime)
	r.s.Silent(starts[0].Worker, lapse)
	r.now = lapse.Add(-time.Millisecond)
	require.Empty(t, r.plan().Starts)
	r.now = lapse.Add(200 * time.Millisecond)
	again := r.plan().Starts
	require.Len(t, again, 1)
	require.NotEqual(t, starts[0].Worker, again[0].Worker)
	require.Equal(t, starts[0].Run.Number+1, again[0].Run.Number)
}

// TestEndIsNotedWithItsRecord guards against an acknowledged end that no
// record has.
func TestEndIsNotedWithItsRecord(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	starts := r.begin(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(1)}))
	r.now = r.now.Add(time.Second)
	r.look(r.index(starts[0].Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: starts[0].Run, End: primrosespar.EndDone})
	changes := r.plan()
	require.Equal(t, uint64(1), changes.Acknowledged[starts[0].Worker])
	require.Len(t, changes.Records, 1)
	require.Equal(t, primrosespar.JobCompleted, changes.Records[0].Progress.State)
}

// TestFailedRunsCountOnceAGang guards against attempts that are used up by the
// members of one run.
func TestFailedRunsCountOnceAGang(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(4), Gang: true}), r.now)
	for attempt := 1; attempt <= 2; attempt++ {
		starts := r.plan().Starts
		require.Len(t, starts, 2)
		r.started(starts)
		r.now = r.now.Add(time.Second)
		for k, o := range starts {
			r.look(r.index(o.Worker), nil, primrosespar.EndedRun{
				Sequence: uint64(10*attempt + k), Run: o.Run, End: primrosespar.EndFailed,
			})
		}
		r.now = r.now.Add(time.Second)
	}
	r.plan()
	require.Equal(t, primrosespar.JobFailed, r.records["a"].Progress.State)
}

// TestUnansweredStartIsNotMoved guards against two runs of a gang: a start
// without an answer may be carried out late, so a refusal after it has to be
// followed by a stop before the task runs elsewhere.
func TestUnansweredStartIsNotMoved(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	r.s.Started(start, primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(time.Second)
	require.Equal(t, []scheduler.Order{start}, r.plan().Starts)
	r.s.Started(start, primrosespar.CodeWorkerFull, r.now)
	r.now = r.now.Add(time.Second)
	changes := r.plan()
	require.Empty(t, changes.Starts)
	require.Len(t, changes.Stops, 1)
	r.s.Stopped(changes.Stops[0], primrosespar.CodeOK, r.now)
	r.now = r.now.Add(time.Second)
	r.look(r.index(start.Worker), nil)
	require.Len(t, r.plan().Starts, 1)
}

// TestCancelledJobStartsNothing guards against a start after a cancellation
// that was decided while the record of the start was being stored.
func TestCancelledJobStartsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	require.True(t, r.s.Cancel("a", r.now))
	require.False(t, r.s.ShouldSend(start, r.now))
	require.Empty(t, r.plan().Stops)
	require.Equal(t, primrosespar.JobCancelled, r.records["a"].Progress.State)
}

// TestUrgentWorkReclaimsItsGuarantee guards against a guarantee that borrowed
// work holds back.
func TestUrgentWorkReclaimsItsGuarantee(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	// The guarantee is new, so that nothing was left free for it.
	before := testCatalog()
	before.Contracts = nil
	r.s.SetCatalog(before)
	for i := range perRack {
		borrowed := job(fmt.Sprintf("b%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8)})
		borrowed.Account = "sud"
		r.s.Submit(borrowed, r.now)
	}
	r.started(r.plan().Starts)
	r.s.SetCatalog(testCatalog())
	r.now = r.now.Add(time.Second)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true, OneRack: true}), r.now)
	stops := r.plan().Stops
	require.Len(t, stops, 2)
	for _, o := range stops {
		r.s.Stopped(o, primrosespar.CodeOK, r.now)
		r.now = r.now.Add(100 * time.Millisecond)
		r.look(r.index(o.Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: o.Run, End: primrosespar.EndStopped})
	}
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	require.Equal(t, primrosespar.JobID("u"), starts[0].Run.Task.Job)
}

// TestRecordRestores guards against a record that loses progress.
func TestRecordRestores(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	two := job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(1)})
	two.Steps = append(two.Steps, primrosespar.Step{Count: 1, Need: gpus(1), After: []int{0}, Estimate: time.Second})
	r.s.Submit(two, r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	r.started(starts)
	r.now = r.now.Add(time.Second)
	r.look(r.index(starts[0].Worker), []primrosespar.ActiveRun{{Run: starts[1].Run}},
		primrosespar.EndedRun{Sequence: 1, Run: starts[0].Run, End: primrosespar.EndDone})
	r.plan()
	enc, err := encoder.New()
	require.NoError(t, err)
	data, err := enc.Progress(r.records["a"].Progress)
	require.NoError(t, err)
	progress, err := enc.ParseProgress(data)
	require.NoError(t, err)
	next := newRig(t, 1)
	next.s.Restore(*r.records["a"].Submission, progress, next.now)
	next.s.SetWorkers(next.members, next.now)
	next.lookAll()
	next.now = next.now.Add(time.Second)
	next.lookAll()
	again := next.plan().Starts
	require.Len(t, again, 1, "only the task that did not end runs again, and its successor waits")
	require.Equal(t, starts[1].Run.Task, again[0].Run.Task)
	require.Equal(t, starts[1].Run.Number+1, again[0].Run.Number)
}

// TestLeaseOfALookThatIsOutCounts guards against two runs of a task when the
// holder is slow: a look that has left renews the lease before its answer is
// known.
func TestLeaseOfALookThatIsOutCounts(t *testing.T) {
	out := time.Time{}
	r := newRig(t, 1, scheduler.WithLeaseExpiry(func(primrosespar.Worker) time.Time { return out }))
	r.lookAll()
	r.now = r.now.Add(scheduler.DefaultTakeover)
	starts := r.begin(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}))
	r.s.Silent(starts[0].Worker, time.Time{})
	out = r.now.Add(2 * leaseTime)
	r.now = r.now.Add(leaseTime + time.Second)
	require.Empty(t, r.plan().Starts)
	r.now = out.Add(time.Second)
	require.Len(t, r.plan().Starts, 1)
}

// TestTasksThatAvoidWorkersCountForTheRest guards against a worker over its
// capacity or its bound of tasks of a step: a task that may not go everywhere,
// because it has failed somewhere, takes room that the other tasks of its step
// were to get.
func TestTasksThatAvoidWorkersCountForTheRest(t *testing.T) {
	r := newRig(t, 2)
	r.lookAll()
	starts := r.begin(job("a", "plain", primrosespar.Step{Count: 4, Need: gpus(8), PerWorker: 1}))
	require.Len(t, starts, 4)
	r.now = r.now.Add(time.Second)
	// The second task fails and the others are stopped, so that all wait again.
	for k, o := range starts {
		end := primrosespar.EndStopped
		if k == 1 {
			end = primrosespar.EndFailed
		}
		r.look(r.index(o.Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: o.Run, End: end})
	}
	r.now = r.now.Add(time.Second)
	used := map[primrosespar.Worker]int{}
	for _, o := range r.plan().Starts {
		used[o.Worker]++
		require.Equal(t, 1, used[o.Worker], "worker %s", o.Worker)
	}
}

// TestWideStepFillsWorkers guards against small tasks that are spread over all
// workers, so that no whole worker stays free for a large shape.
func TestWideStepFillsWorkers(t *testing.T) {
	r := newRig(t, 2)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 12, Need: gpus(1)}), r.now)
	used := map[primrosespar.Worker]int{}
	for _, o := range r.plan().Starts {
		used[o.Worker]++
	}
	require.Len(t, used, 2, "twelve tasks of one accelerator fit two workers of eight")
}

// TestAdvisedStepStartsWithTickets guards against starts without the approval
// of the advice service, or with one that has run out.
func TestAdvisedStepStartsWithTickets(t *testing.T) {
	r := newRig(t, 1)
	catalog := testCatalog()
	catalog.Queues[1].Advised = true
	r.s.SetCatalog(catalog)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(8)}), r.now)
	changes := r.plan()
	require.Empty(t, changes.Starts)
	require.Len(t, changes.AdviceRequests, 1)
	require.Len(t, changes.AdviceRequests[0].Workers, perRack)
	advice := primrosespar.Advice{
		Tickets:  map[primrosespar.Worker]string{"w01": "t1", "w02": "t2"},
		Validity: 3 * time.Second,
	}
	r.s.Advised(changes.AdviceRequests[0], advice, true, r.now.Add(-3*time.Second), r.now)
	r.now = r.now.Add(200 * time.Millisecond)
	changes = r.plan()
	require.Empty(t, changes.Starts, "the tickets have run out")
	require.Len(t, changes.AdviceRequests, 1)
	require.ElementsMatch(t, []primrosespar.Worker{"w01", "w02"}, changes.AdviceRequests[0].Workers)
	r.s.Advised(changes.AdviceRequests[0], advice, true, r.now, r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	for _, o := range starts {
		require.Equal(t, advice.Tickets[o.Worker], o.Ticket)
	}
}

// TestPlainWorkLeavesGuaranteesFree guards against bursts of urgent work that
// have to stop what runs because the rest has taken all that was free.
func TestPlainWorkLeavesGuaranteesFree(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	for i := range perRack {
		r.s.Submit(job(fmt.Sprintf("b%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	}
	require.Len(t, r.plan().Starts, perRack-1, "16 of 32 accelerators are guaranteed, and about half of them stay free")
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	changes := r.plan()
	require.Len(t, changes.Starts, 1)
	require.Empty(t, changes.Stops)
}

// TestIdleServiceHoldsNothingBack guards against a large job that waits for
// ever though most of the service is idle.
func TestIdleServiceHoldsNothingBack(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 4, Need: gpus(8), Gang: true}), r.now)
	require.Len(t, r.plan().Starts, 4)
}

// TestRetriedStartThatRunsIsStopped guards against two runs of a task: a start
// that got no answer is about to be repeated, a report shows that it runs, and
// then it has to give way. The order to repeat it does not leave, but the run
// is there and has to be stopped.
func TestRetriedStartThatRunsIsStopped(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	require.True(t, r.s.ShouldSend(start, r.now))
	r.s.Started(start, primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(time.Second)
	again := r.plan().Starts
	require.Equal(t, []scheduler.Order{start}, again)
	r.look(r.index(start.Worker), []primrosespar.ActiveRun{{Run: start.Run}})
	r.s.Cancel("a", r.now)
	require.False(t, r.s.ShouldSend(again[0], r.now))
	require.Len(t, r.plan().Stops, 1)
}

// TestFailureOfALostRunCounts guards against more runs than the attempts: a
// run that was given up for lost turns out to have failed.
func TestFailureOfALostRunCounts(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.now = r.now.Add(scheduler.DefaultTakeover)
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	first := r.plan().Starts
	r.started(first)
	lost := r.index(first[0].Worker)
	r.s.Silent(first[0].Worker, r.now.Add(leaseTime))
	r.now = r.now.Add(leaseTime + time.Second)
	second := r.plan().Starts
	require.Len(t, second, 1)
	r.started(second)
	r.look(lost, nil, primrosespar.EndedRun{Sequence: 1, Run: first[0].Run, End: primrosespar.EndFailed})
	r.look(r.index(second[0].Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: second[0].Run, End: primrosespar.EndFailed})
	require.Empty(t, r.plan().Starts)
	require.Equal(t, primrosespar.JobFailed, r.records["a"].Progress.State)
}

// TestRefusedRepetitionLeavesTheRun guards against two runs of a task: a start
// without an answer was carried out, a report shows it, and its repetition is
// refused by a worker that is unwell by now.
func TestRefusedRepetitionLeavesTheRun(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	require.True(t, r.s.ShouldSend(start, r.now))
	r.s.Started(start, primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(time.Second)
	require.Len(t, r.plan().Starts, 1)
	r.look(r.index(start.Worker), []primrosespar.ActiveRun{{Run: start.Run}})
	r.s.Started(start, primrosespar.CodeWorkerUnhealthy, r.now)
	r.now = r.now.Add(time.Second)
	require.Empty(t, r.plan().Starts)
}

// TestFailureIsCountedOnceAcrossHolders guards against a job that is shown as
// failed before its attempts are used up: a new holder is told again of an end
// that the earlier one has stored but not acknowledged.
func TestFailureIsCountedOnceAcrossHolders(t *testing.T) {
	first := newRig(t, 1)
	first.lookAll()
	first.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), first.now)
	start := first.plan().Starts[0]
	first.started([]scheduler.Order{start})
	first.now = first.now.Add(time.Second)
	failed := primrosespar.EndedRun{Sequence: 1, Run: start.Run, End: primrosespar.EndFailed}
	first.look(first.index(start.Worker), nil, failed)
	first.plan()
	second := newRig(t, 1)
	second.s.Restore(*first.records["a"].Submission, first.records["a"].Progress, second.now)
	second.s.SetWorkers(second.members, second.now)
	second.lookAll()
	second.look(second.index(start.Worker), nil, failed)
	// The run that the first holder placed next was never started.
	second.now = second.now.Add(time.Second)
	second.lookAll()
	second.plan()
	state, _ := second.s.State("a")
	require.Equal(t, primrosespar.JobActive, state)
}

// TestSilentIdleWorkerIsLookedAt guards against a worker that is lost to the
// fleet for good because its last look had no answer and nothing runs there.
func TestSilentIdleWorkerIsLookedAt(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	require.Empty(t, r.s.WorkersToPoll())
	r.s.Silent(r.members[2].Worker, r.now)
	require.Equal(t, []primrosespar.WorkerInfo{r.members[2]}, r.s.WorkersToPoll())
	r.look(2, nil)
	require.Empty(t, r.s.WorkersToPoll())
}

// TestAvoidedWorkersAreTriedAgain guards against a unit that waits for ever
// because it has failed at every worker.
func TestAvoidedWorkersAreTriedAgain(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	starts := r.begin(job("a", "plain", primrosespar.Step{Count: perRack, Need: gpus(8), Gang: true}))
	require.Len(t, starts, perRack)
	r.now = r.now.Add(time.Second)
	for k, o := range starts {
		end := primrosespar.EndMemberFailed
		if k == 0 {
			end = primrosespar.EndFailed
		}
		r.look(r.index(o.Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: o.Run, End: end})
	}
	require.Empty(t, r.plan().Starts)
	r.now = r.now.Add(6 * time.Second)
	r.plan()
	r.now = r.now.Add(time.Second)
	require.Len(t, r.plan().Starts, perRack)
}

// TestReplacedWorkerFreesItsRuns guards against work that waits for a lease
// though another worker answers at the address of the one that held it.
func TestReplacedWorkerFreesItsRuns(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(4)}), r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	require.Equal(t, starts[0].Worker, starts[1].Worker)
	r.s.Started(starts[0], primrosespar.CodeOK, r.now)
	r.s.Started(starts[1], primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(100 * time.Millisecond)
	lost := starts[0].Worker
	r.s.Replaced(lost, r.now)
	r.now = r.now.Add(200 * time.Millisecond)
	again := r.plan().Starts
	require.Len(t, again, 2)
	for _, o := range again {
		require.NotEqual(t, lost, o.Worker)
		require.Equal(t, uint64(2), o.Run.Number)
	}

	// Its announcement stays for a while and names no worker to use.
	r.s.SetWorkers(r.members, r.now)
	require.NotContains(t, r.s.WorkersToPoll(), r.members[r.index(lost)])
	r.members[r.index(lost)].StartedAt = r.members[r.index(lost)].StartedAt.Add(time.Minute)
	r.s.SetWorkers(r.members, r.now)
	require.Contains(t, r.s.WorkersToPoll(), r.members[r.index(lost)])
}

// TestStartIsNotRepeatedAtASilentWorker guards against a task that is bound to
// a dead worker for good: each start carries a lease, so repetitions kept the
// run from lapsing.
func TestStartIsNotRepeatedAtASilentWorker(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	r.s.Started(start, primrosespar.CodeWorkerLost, r.now)
	r.s.Silent(start.Worker, r.now.Add(leaseTime))
	r.now = r.now.Add(time.Second)
	require.Empty(t, r.plan().Starts)
	r.now = r.now.Add(scheduler.DefaultTakeover)
	again := r.plan().Starts
	require.Len(t, again, 1)
	require.NotEqual(t, start.Worker, again[0].Worker)
}

// TestStartThatNeverLeftGoesElsewhere guards against a wait for the lease of a
// worker that no start has reached.
func TestStartThatNeverLeftGoesElsewhere(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	start := r.plan().Starts[0]
	r.s.Started(start, primrosespar.CodePeerUnavailable, r.now)
	r.s.Silent(start.Worker, r.now.Add(leaseTime))
	r.now = r.now.Add(200 * time.Millisecond)
	again := r.plan().Starts
	require.Len(t, again, 1)
	require.NotEqual(t, start.Worker, again[0].Worker)
}

// TestUrgentAdvisedStepAsksAboutFullWorkers guards against a guarantee that is
// not given because the advice service was asked about idle workers only.
func TestUrgentAdvisedStepAsksAboutFullWorkers(t *testing.T) {
	r := newRig(t, 1)
	catalog := testCatalog()
	catalog.Queues[0].Advised = true
	r.s.SetCatalog(catalog)
	r.lookAll()
	r.s.Submit(job("p", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	r.started(r.plan().Starts)
	for i := range r.members[1:] {
		r.s.Submit(job(fmt.Sprintf("l%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8), LongRunning: true}), r.now)
	}
	r.started(r.plan().Starts)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: gpus(8)}), r.now)
	questions := r.plan().AdviceRequests
	require.Len(t, questions, 1)
	require.Len(t, questions[0].Workers, perRack)
	tickets := map[primrosespar.Worker]string{}
	for _, w := range questions[0].Workers {
		tickets[w] = "t"
	}
	r.s.Advised(questions[0], primrosespar.Advice{Tickets: tickets, Validity: 3 * time.Second}, true, r.now, r.now)
	r.now = r.now.Add(200 * time.Millisecond)
	require.NotEmpty(t, r.plan().Stops)
}

// TestQuestionsNameWhatIsNeeded guards against an advice service that is kept
// busy with workers that a step does not need, and by steps that wait for
// something else than tickets.
func TestQuestionsNameWhatIsNeeded(t *testing.T) {
	r := newRig(t, 25)
	catalog := testCatalog()
	catalog.Queues[0].Advised, catalog.Queues[1].Advised = true, true
	r.s.SetCatalog(catalog)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	questions := r.plan().AdviceRequests
	require.Len(t, questions, 1, "one at a time")
	require.Equal(t, primrosespar.JobID("u"), questions[0].Job)
	require.Less(t, len(questions[0].Workers), 30)
	first := questions[0].Workers[0]
	advice := primrosespar.Advice{Tickets: map[primrosespar.Worker]string{first: "t"}, Validity: 3 * time.Second}
	r.s.Advised(questions[0], advice, true, r.now.Add(-3*time.Second), r.now)
	questions = r.plan().AdviceRequests
	require.Len(t, questions, 1)
	require.Equal(t, first, questions[0].Workers[0], "a worker that was approved is approved again")
}

// TestSmallServiceHoldsLittleBack guards against work that never starts because
// the guarantees were made for more workers than are left.
func TestSmallServiceHoldsLittleBack(t *testing.T) {
	r := newRig(t, 2)
	catalog := testCatalog()
	catalog.Contracts[0].Reserved = 8 * 2 * perRack
	r.s.SetCatalog(catalog)
	r.lookAll()
	for i := range 2 * perRack {
		r.s.Submit(job(fmt.Sprintf("p%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	}
	require.Len(t, r.plan().Starts, 5)
}

// TestGuaranteeOfSeparateTasksIsReclaimedAtOnce guards against a guarantee that
// is given one stop after the other, which takes longer than it may.
func TestGuaranteeOfSeparateTasksIsReclaimedAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.s.SetCatalog(&primrosespar.Catalog{Queues: testCatalog().Queues, Contracts: []primrosespar.Contract{{Account: "nord", Reserved: 24}}})
	r.lookAll()
	for i := range perRack {
		r.s.Submit(job(fmt.Sprintf("p%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8), LongRunning: true}), r.now)
	}
	r.started(r.plan().Starts)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 3, Need: gpus(8)}), r.now)
	changes := r.plan()
	require.Equal(t, 3, len(changes.Stops)+len(changes.Starts))
	require.NotEmpty(t, changes.Stops)
}

// fullRig returns a rig with three long-running tasks on four workers, and those.
func fullRig(t *testing.T) (*rig, []scheduler.Order) {
	r := newRig(t, 1)
	r.lookAll()
	starts := r.begin(job("full", "plain", primrosespar.Step{Count: perRack - 1, Need: gpus(8), LongRunning: true}))
	require.Len(t, starts, perRack-1)
	return r, starts
}

// stopped lets the run end by its stop.
func (r *rig) stopped(o scheduler.Order) {
	r.s.Stopped(o, primrosespar.CodeOK, r.now)
	r.look(r.index(o.Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: o.Run, End: primrosespar.EndStopped})
}

// TestCancelledJobGivesItsRoomBack guards against room that is kept for good
// for a job which was cancelled while it was being made.
func TestCancelledJobGivesItsRoomBack(t *testing.T) {
	r, _ := fullRig(t)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true}), r.now)
	stops := r.plan().Stops
	require.Len(t, stops, 1)
	r.s.Cancel("u", r.now)
	r.stopped(stops[0])
	r.now = r.now.Add(time.Second)
	require.Len(t, r.plan().Starts, 1, "the lasting task that was stopped")
	r.s.Submit(job("v", "urgent", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	require.Len(t, r.plan().Starts, 1)
}

// TestClaimEndsWithoutItsJob guards against room that is kept for good for a
// job that is too late to have room made for it.
func TestClaimEndsWithoutItsJob(t *testing.T) {
	r, starts := fullRig(t)
	for _, m := range r.members {
		r.s.Silent(m.Worker, r.now.Add(time.Minute))
	}
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true}), r.now)
	require.Empty(t, r.plan().Stops)
	r.now = r.now.Add(3900 * time.Millisecond)
	r.look(perRack-1, nil)
	r.atWork(starts)
	stops := r.plan().Stops
	require.Len(t, stops, 1)
	for i := range r.members {
		r.members[i].Draining = r.members[i].Worker != stops[0].Worker
	}
	r.s.SetWorkers(r.members, r.now)
	r.stopped(stops[0])
	r.now = r.now.Add(5 * time.Second)
	r.s.Submit(job("v", "urgent", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	require.Len(t, r.plan().Starts, 1)
}
