package poller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/fleet/poller"
)

// fencingWorker is a primrosespar.Fleet of one worker that refuses tokens below
// the highest it has seen in its lifetime. Stop orders are under way for a while.
type fencingWorker struct {
	primrosespar.Fleet
	mu        sync.Mutex
	startedAt time.Time
	token     primrosespar.Token
	// tokens are those of all polls.
	tokens []primrosespar.Token
}

// see applies the token of an order.
func (w *fencingWorker) see(token primrosespar.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token {
		return primrosespar.Fail(primrosespar.CodeStaleToken, "fence")
	}
	w.token = token
	return nil
}

// Poll implements primrosespar.Fleet.
func (w *fencingWorker) Poll(_ context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	if err := w.see(poll.Token); err != nil {
		return primrosespar.WorkerReport{}, err
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = append(w.tokens, poll.Token)
	return primrosespar.WorkerReport{StartedAt: w.startedAt, Clock: time.Since(w.startedAt), Complete: true}, nil
}

// Stop implements primrosespar.Fleet.
func (w *fencingWorker) Stop(_ context.Context, stop primrosespar.Stop) error {
	time.Sleep(200 * time.Millisecond)
	return w.see(stop.Token)
}

// startSink records the lifetimes in the reports that reach the scheduler and
// the tokens that the worker had seen by then.
type startSink struct {
	recordingSink
	worker *fencingWorker
	seen   map[time.Time]primrosespar.Token
}

// OnReport implements poller.Sink.
func (s *startSink) OnReport(_ primrosespar.Worker, report primrosespar.WorkerReport, _, _ time.Time) {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	if _, known := s.seen[report.StartedAt]; !known {
		s.seen[report.StartedAt] = s.worker.token
	}
}

// TestRestartRaisesTheToken guards against an order to an earlier lifetime of a
// worker that the new one carries out late, and against a term that ends because
// the new one refuses it.
func TestRestartRaisesTheToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &fencingWorker{startedAt: time.Now().Add(-time.Hour)}
		sink := &startSink{
			recordingSink: recordingSink{polls: make(chan primrosespar.Code, 100), orders: make(chan primrosespar.Code, 1)},
			worker:        w, seen: map[time.Time]primrosespar.Token{},
		}
		p := poller.New(w, clockwork.NewRealClock(), primrosespar.WorkerInfo{Worker: "w"}, fencer.New(fencer.Stride), sink)
		p.SetBusy(true)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			p.Run(ctx)
		}()
		time.Sleep(time.Second)
		p.Stop(ctx, primrosespar.Run{Number: 1})
		synctest.Wait()
		w.mu.Lock()
		w.startedAt, w.token = time.Now(), 0
		w.mu.Unlock()
		time.Sleep(time.Second)
		cancel()
		<-ended
		require.Equal(t, primrosespar.Token(fencer.Stride), w.tokens[0])
		require.Equal(t, primrosespar.Token(fencer.Stride+1), w.token)
		require.Equal(t, primrosespar.Token(fencer.Stride+1), sink.seen[w.startedAt], "the first report of the new lifetime")
		require.Equal(t, primrosespar.CodePeerUnavailable, <-sink.orders, "the order to the earlier lifetime")
		for len(sink.polls) > 0 {
			require.NotEqual(t, primrosespar.CodeStaleToken, <-sink.polls)
		}
	})
}
