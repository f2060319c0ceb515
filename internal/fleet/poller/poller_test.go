package poller_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/fleet/poller"
)

// Times of the worker of the tests.
const (
	// restartTime is how long the worker is away when it restarts.
	restartTime = 300 * time.Millisecond
	// runTime is how long a run takes.
	runTime = 150 * time.Millisecond
	// workerTick is the interval at which a waiting poll looks for ends.
	workerTick = 5 * time.Millisecond
)

// restartingWorker is a primrosespar.Fleet of one worker that restarts under
// its name and then numbers the ends of its runs from 1 again.
type restartingWorker struct {
	primrosespar.Fleet

	mu        sync.Mutex
	startedAt time.Time
	away      bool
	ends      []primrosespar.EndedRun
	sequence  uint64
	// listed are the ends that an answer contained, unread those that were
	// acknowledged without that.
	listed map[primrosespar.Run]bool
	unread []primrosespar.Run
	polls  int
}

// end adds the end of a run.
func (w *restartingWorker) end(run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.ends = append(w.ends, primrosespar.EndedRun{
		Sequence: w.sequence, Run: primrosespar.Run{Number: run}, End: primrosespar.EndDone,
	})
}

// restart makes the worker go away and come back under its name.
func (w *restartingWorker) restart() {
	w.mu.Lock()
	w.away = true
	w.mu.Unlock()
	time.Sleep(restartTime)
	w.mu.Lock()
	w.away, w.startedAt, w.ends, w.sequence = false, time.Now(), nil, 0
	w.mu.Unlock()
}

// Poll implements primrosespar.Fleet.
func (w *restartingWorker) Poll(ctx context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	if !w.acknowledge(poll.Acknowledged) {
		return primrosespar.WorkerReport{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "the worker is away")
	}
	lifetime := w.lifetime()
	for waited := time.Duration(0); ; waited += workerTick {
		if report, ok := w.report(lifetime, waited >= poll.Wait); ok {
			return report, nil
		}
		if w.lifetime() != lifetime || ctx.Err() != nil {
			return primrosespar.WorkerReport{}, primrosespar.FailUnknown(primrosespar.CodeWorkerLost, "no answer")
		}
		time.Sleep(workerTick)
	}
}

// acknowledge drops the ends up to the sequence. It reports false while the
// worker is away.
func (w *restartingWorker) acknowledge(sequence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return false
	}
	w.polls++
	var kept []primrosespar.EndedRun
	for _, e := range w.ends {
		if e.Sequence > sequence {
			kept = append(kept, e)
		} else if !w.listed[e.Run] {
			w.unread = append(w.unread, e.Run)
		}
	}
	w.ends = kept
	return true
}

// lifetime returns when the worker started, or the zero time while it is away.
func (w *restartingWorker) lifetime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return time.Time{}
	}
	return w.startedAt
}

// report returns the answer to a poll, if the lifetime is still the same and
// there is an end or the wait is over.
func (w *restartingWorker) report(lifetime time.Time, waitOver bool) (primrosespar.WorkerReport, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away || w.startedAt != lifetime || len(w.ends) == 0 && !waitOver {
		return primrosespar.WorkerReport{}, false
	}
	for _, e := range w.ends {
		w.listed[e.Run] = true
	}
	return primrosespar.WorkerReport{StartedAt: w.startedAt, Clock: time.Since(w.startedAt), Ended: append([]primrosespar.EndedRun(nil), w.ends...), Complete: true}, true
}

// slowStore is a poller.Sink that acknowledges reported ends after a while, as
// a holder does once they are stored.
type slowStore struct {
	poller  *poller.Poller
	latency time.Duration
	mu      sync.Mutex
	stored  map[primrosespar.Run]bool
}

// OnReport implements poller.Sink.
func (s *slowStore) OnReport(_ primrosespar.Worker, report primrosespar.WorkerReport, _, _ time.Time) {
	if len(report.Ended) == 0 {
		return
	}
	time.AfterFunc(s.latency, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range report.Ended {
			s.stored[e.Run] = true
		}
		s.poller.Acknowledge(report.StartedAt, report.Ended[len(report.Ended)-1].Sequence)
	})
}

// OnPollError implements poller.Sink.
func (*slowStore) OnPollError(primrosespar.Worker, time.Time, error) {}

// OnOrderResult implements poller.Sink.
func (*slowStore) OnOrderResult(primrosespar.Worker, primrosespar.Run, bool, time.Time, error) {}

// OnThrottleResult implements poller.Sink.
func (*slowStore) OnThrottleResult(primrosespar.Worker, primrosespar.Run, int, error) {}

// TestRestartedWorkerKeepsItsUnreadEnds guards against an acknowledgement for
// an earlier lifetime of a worker that makes the next one forget ends that
// nobody has read (docs/incidents/soak-1.md). The worker restarts at any moment
// around the storing of its ends.
func TestRestartedWorkerKeepsItsUnreadEnds(t *testing.T) {
	for _, latency := range []time.Duration{20 * time.Millisecond, 350 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond} {
		for restartAt := time.Duration(0); restartAt <= 1200*time.Millisecond; restartAt += 25 * time.Millisecond {
			t.Run(fmt.Sprintf("%v_%v", latency, restartAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playRestart(t, latency, restartAt) })
			})
		}
	}
}

// playRestart plays a worker that ends three runs, restarts at restartAt and
// ends two more, and checks what was read and stored.
func playRestart(t *testing.T, latency, restartAt time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	w := &restartingWorker{startedAt: time.Now(), listed: map[primrosespar.Run]bool{}}
	store := &slowStore{latency: latency, stored: map[primrosespar.Run]bool{}}
	store.poller = poller.New(w, clockwork.NewRealClock(), primrosespar.WorkerInfo{Worker: "w"}, fencer.New(fencer.Stride), store)
	store.poller.SetBusy(true)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		store.poller.Run(ctx)
	}()
	for run := range uint64(3) {
		w.end(run + 1)
	}
	time.Sleep(restartAt)
	w.restart()
	time.Sleep(runTime)
	w.end(4)
	time.Sleep(runTime)
	w.end(5)
	time.Sleep(latency + 5*time.Second)
	cancel()
	<-ended
	require.Empty(t, w.unread, "ends were acknowledged before any answer listed them")
	for run := uint64(4); run <= 5; run++ {
		require.True(t, store.stored[primrosespar.Run{Number: run}], "the end of run %d was not stored", run)
	}
	require.Empty(t, w.ends, "ends were stored and not acknowledged")
	require.Less(t, w.polls, 100)
}

// TestEndsAreAcknowledgedWhileOthersCome guards against ends that are stored and
// never acknowledged, because storing takes longer than the window for
// acknowledgements and further ends keep coming.
func TestEndsAreAcknowledgedWhileOthersCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &restartingWorker{startedAt: time.Now(), listed: map[primrosespar.Run]bool{}}
		store := &slowStore{latency: 700 * time.Millisecond, stored: map[primrosespar.Run]bool{}}
		store.poller = poller.New(w, clockwork.NewRealClock(), primrosespar.WorkerInfo{Worker: "w"}, fencer.New(fencer.Stride), store)
		store.poller.SetBusy(true)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			store.poller.Run(ctx)
		}()
		for run := range uint64(100) {
			w.end(run + 1)
			time.Sleep(100 * time.Millisecond)
		}
		w.mu.Lock()
		require.Less(t, len(w.ends), 50, "ends that the worker still lists")
		require.Less(t, w.polls, 100)
		w.mu.Unlock()
		cancel()
		<-ended
	})
}

// brokenFleet is a primrosespar.Fleet whose calls panic.
type brokenFleet struct{ primrosespar.Fleet }

// Poll implements primrosespar.Fleet.
func (brokenFleet) Poll(context.Context, primrosespar.Poll) (primrosespar.WorkerReport, error) {
	panic("malformed answer")
}

// Start implements primrosespar.Fleet.
func (brokenFleet) Start(context.Context, primrosespar.Start) error { panic("malformed answer") }

// recordingSink records the codes of failed polls and orders.
type recordingSink struct {
	slowStore
	polls  chan primrosespar.Code
	orders chan primrosespar.Code
}

// OnPollError implements poller.Sink.
func (s *recordingSink) OnPollError(_ primrosespar.Worker, _ time.Time, err error) {
	s.polls <- primrosespar.CodeOf(err)
}

// OnOrderResult implements poller.Sink.
func (s *recordingSink) OnOrderResult(_ primrosespar.Worker, _ primrosespar.Run, _ bool, _ time.Time, err error) {
	s.orders <- primrosespar.CodeOf(err)
}

// TestPanicInACallCostsThatCall guards against an answer of a worker that ends
// the whole process, and against an order that stays in flight forever.
func TestPanicInACallCostsThatCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sink := &recordingSink{polls: make(chan primrosespar.Code, 100), orders: make(chan primrosespar.Code, 1)}
		p := poller.New(brokenFleet{}, clockwork.NewRealClock(), primrosespar.WorkerInfo{Worker: "w"}, fencer.New(fencer.Stride), sink)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			p.Run(ctx)
		}()
		p.Start(ctx, primrosespar.Start{Run: primrosespar.Run{Number: 1}})
		require.Equal(t, primrosespar.CodeWorkerLost, <-sink.orders)
		require.Equal(t, primrosespar.CodeWorkerLost, <-sink.polls)
		require.Equal(t, primrosespar.CodeWorkerLost, <-sink.polls)
		cancel()
		<-ended
	})
}

// TestNoOrderIsSentAfterTheEnd guards against an order that leaves after the term
// has ended and has stopped waiting for its orders.
func TestNoOrderIsSentAfterTheEnd(t *testing.T) {
	worker := &orderedWorker{}
	p := poller.New(worker, clockwork.NewRealClock(), primrosespar.WorkerInfo{Worker: "w"}, fencer.New(fencer.Stride), &slowStore{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.Run(ctx)
	p.Start(t.Context(), primrosespar.Start{})
	p.Stop(t.Context(), primrosespar.Run{})
	p.Throttle(t.Context(), primrosespar.Run{}, 50)
	p.Run(ctx)
	require.Zero(t, worker.orders.Load())
}

// orderedWorker is a primrosespar.Fleet that counts orders.
type orderedWorker struct {
	primrosespar.Fleet
	orders atomic.Int64
}

// Start implements primrosespar.Fleet.
func (w *orderedWorker) Start(context.Context, primrosespar.Start) error {
	w.orders.Add(1)
	return nil
}

// Stop implements primrosespar.Fleet.
func (w *orderedWorker) Stop(context.Context, primrosespar.Stop) error {
	w.orders.Add(1)
	return nil
}

// Throttle implements primrosespar.Fleet.
func (w *orderedWorker) Throttle(context.Context, primrosespar.Throttle) error {
	w.orders.Add(1)
	return nil
}
