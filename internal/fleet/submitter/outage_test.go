package submitter_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/submitter"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// Figures of the callers in the replays: how long a caller waits for all its
// attempts, how many it makes, and which part of its time it waits at most
// between two of them.
const (
	callerTime     = 3 * time.Second
	callerAttempts = 5
	callerPause    = 0.35
	answerMargin   = 150 * time.Millisecond
	// A caller arrives each arrivalInterval. A silent store is known as such
	// after knownAfter.
	arrivalInterval = 50 * time.Millisecond
	knownAfter      = 700 * time.Millisecond
)

// site is a host whose store and holder the test controls.
type site struct {
	*keeper.Keeper
	primrosespar.FleetPeers
	silent               atomic.Bool
	reads, writes, calls atomic.Int64
	// holder answers a submission; nil if there is no holder.
	holder atomic.Pointer[func(context.Context) error]
	jobs   *submitter.Submitter
}

// newSite returns a host without a holder.
func newSite(t *testing.T) *site {
	clock := clockwork.NewRealClock()
	s := &site{Keeper: keeper.New(keeper.WithClock(clock))}
	jobs, err := submitter.New(submitter.Parts{
		Table: s, Peers: s, Clock: clock, Term: func() submitter.Term { return nil },
		Holder:    func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:1"), s.holder.Load() != nil },
		StoreSlow: func() bool { return false }, Search: func() {},
	})
	require.NoError(t, err)
	s.jobs = jobs
	return s
}

// Get implements primrosespar.Table.
func (s *site) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	s.reads.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "silent")
	}
	return s.Keeper.Get(ctx, keys...)
}

// Commit implements primrosespar.Table.
func (s *site) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	s.writes.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "silent")
	}
	return s.Keeper.Commit(ctx, txn)
}

// Submit implements primrosespar.FleetPeers.
func (s *site) Submit(ctx context.Context, _ netip.AddrPort, _ primrosespar.Submission) error {
	s.calls.Add(1)
	return (*s.holder.Load())(ctx)
}

// callers are the results of callers that arrive one after the other.
type callers struct {
	mu sync.Mutex
	// served is how long each served caller waited, by when it arrived.
	served            map[time.Duration]time.Duration
	refusals, unknown int
}

// call makes the attempts of a caller that arrives after a time.
func (c *callers) call(s *site, arrival time.Duration) {
	arrived := time.Now()
	for range callerAttempts {
		remaining := callerTime - time.Since(arrived)
		ctx, cancel := context.WithTimeout(context.Background(), max(remaining-answerMargin, remaining/2))
		err := s.jobs.Submit(ctx, primrosespar.Submission{ID: primrosespar.JobID(fmt.Sprint(arrival)), Queue: "q"})
		cancel()
		c.mu.Lock()
		switch primrosespar.CodeOf(err) {
		case primrosespar.CodeOK:
			c.served[arrival] = time.Since(arrived)
			c.mu.Unlock()
			return
		case primrosespar.CodeOutcomeUnknown:
			c.unknown++
		default:
			c.refusals++
		}
		c.mu.Unlock()
		remaining = callerTime - time.Since(arrived)
		time.Sleep(min(max(time.Second, primrosespar.RetryAfterOf(err)), time.Duration(callerPause*float64(remaining))))
	}
}

// arrive lets a caller arrive each interval for a time and returns the results.
func arrive(s *site, during time.Duration) *callers {
	c := &callers{served: map[time.Duration]time.Duration{}}
	var tasks sync.WaitGroup
	for arrival := time.Duration(0); arrival < during; arrival += arrivalInterval {
		tasks.Go(func() {
			time.Sleep(arrival)
			c.call(s, arrival)
		})
	}
	tasks.Wait()
	return c
}

// TestCallersOfASilentStore replays the callers of a host without a holder whose
// store is silent. It guards against answers that leave the outcome open for
// work that was never stored, against writes to a store that does not answer,
// and against callers who still wait when it returns and are not served.
func TestCallersOfASilentStore(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t)
			s.silent.Store(true)
			time.AfterFunc(outage, func() { s.silent.Store(false) })
			counts := make(chan [2]int64, 1)
			time.AfterFunc(outage-time.Millisecond, func() { counts <- [2]int64{s.reads.Load(), s.writes.Load()} })
			c := arrive(s, outage)
			require.Zero(t, c.unknown)
			counted := <-counts
			require.Zero(t, counted[1])
			require.LessOrEqual(t, counted[0], int64(knownAfter/arrivalInterval+outage/(400*time.Millisecond)), "one probe at a time")
			for arrival := max(0, outage-2*time.Second); arrival < outage; arrival += arrivalInterval {
				require.Contains(t, c.served, arrival)
			}
		})
	}
}

// TestCallersOfARefusedHolder replays a holder that the store refuses until
// another one has taken over. It guards against callers that are sent away for a
// second, and against a holder that each of them asks again and again.
func TestCallersOfARefusedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takeover = 700 * time.Millisecond
		s := newSite(t)
		begin := time.Now()
		holder := func(context.Context) error {
			if time.Since(begin) < takeover {
				return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "refused")
			}
			return nil
		}
		s.holder.Store(&holder)
		c := arrive(s, takeover)
		require.Zero(t, c.unknown)
		require.Zero(t, c.refusals)
		for arrival, waited := range c.served {
			require.LessOrEqual(t, arrival+waited, takeover+200*time.Millisecond)
		}
		require.LessOrEqual(t, s.calls.Load(), int64(takeover/arrivalInterval+takeover/(100*time.Millisecond)+1))
	})
}

// TestCallersOfAStoppedHolder replays a planned stop: the earlier holder has
// released the lease and the next one leads a moment later. It guards against
// jobs that go through the inbox or are refused meanwhile.
func TestCallersOfAStoppedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const handover = 150 * time.Millisecond
		s := newSite(t)
		begin := time.Now()
		holder := func(context.Context) error {
			if time.Since(begin) < handover {
				return primrosespar.Fail(primrosespar.CodeNotHolder, "stopped")
			}
			return nil
		}
		s.holder.Store(&holder)
		c := arrive(s, handover)
		require.Zero(t, c.unknown+c.refusals)
		require.Zero(t, s.writes.Load())
	})
}

// TestCallersOfASlowStore replays a holder whose commits take 1.6 s. It guards
// against calls that are given up while the holder stores them, and against
// writes to the inbox that delay its commits.
func TestCallersOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		holder := func(ctx context.Context) error {
			select {
			case <-time.After(1600 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer")
			}
		}
		s.holder.Store(&holder)
		c := arrive(s, time.Second)
		require.Zero(t, c.unknown+c.refusals)
		require.Zero(t, s.writes.Load())
	})
}

// TestUnknownOutcomeIsSettled guards against a caller that is told that the
// outcome is open although the store tells it while the caller still waits.
func TestUnknownOutcomeIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.SetFaults(keeper.Faults{LoseEvery: 1})
		time.AfterFunc(time.Second, func() { s.SetFaults(keeper.Faults{}) })
		ctx, cancel := context.WithTimeout(t.Context(), callerTime)
		defer cancel()
		require.NoError(t, s.jobs.Submit(ctx, primrosespar.Submission{ID: "a", Queue: "q"}))
	})
}

// TestCallersThatReturnAtOnceAreBounded guards against a host whose memory is
// used up by the calls that it holds.
func TestCallersThatReturnAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crowd, maxHeld = 2000, 256
		s := newSite(t)
		s.SetFaults(keeper.Faults{Outage: true})
		var refused atomic.Int64
		var tasks sync.WaitGroup
		for i := range crowd {
			tasks.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := s.jobs.Submit(ctx, primrosespar.Submission{ID: primrosespar.JobID(fmt.Sprint(i)), Queue: "q"}); err != nil {
					refused.Add(1)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		require.GreaterOrEqual(t, refused.Load(), int64(crowd-maxHeld))
		s.SetFaults(keeper.Faults{})
		tasks.Wait()
		require.GreaterOrEqual(t, crowd-refused.Load(), int64(maxHeld-1))
	})
}

// TestOutageWithoutCallsHasEnded guards against a caller that is refused at once
// because a call was not served long ago and nobody has tried since.
func TestOutageWithoutCallsHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.SetFaults(keeper.Faults{Outage: true})
		submit := func(id primrosespar.JobID) error {
			ctx, cancel := context.WithTimeout(t.Context(), callerTime)
			defer cancel()
			return s.jobs.Submit(ctx, primrosespar.Submission{ID: id, Queue: "q"})
		}
		require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(submit("a")))
		time.Sleep(time.Minute)
		time.AfterFunc(500*time.Millisecond, func() { s.SetFaults(keeper.Faults{}) })
		require.NoError(t, submit("b"))
		age, held := s.jobs.Interruption()
		require.Zero(t, age)
		require.Zero(t, held)
	})
}

// TestCallWithoutTimeIsNotTried guards against an open outcome for a caller that
// does not wait as long as an answer takes.
func TestCallWithoutTimeIsNotTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		holder := func(ctx context.Context) error {
			select {
			case <-time.After(80 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer")
			}
		}
		s.holder.Store(&holder)
		require.NoError(t, s.jobs.Submit(t.Context(), primrosespar.Submission{ID: "a", Queue: "q"}))
		ctx, cancel := context.WithTimeout(t.Context(), 70*time.Millisecond)
		defer cancel()
		err := s.jobs.Submit(ctx, primrosespar.Submission{ID: "b", Queue: "q"})
		require.Equal(t, primrosespar.CodeWouldBeLate, primrosespar.CodeOf(err))
		require.Equal(t, int64(1), s.calls.Load())
	})
}

// TestCallersThatHaveGoneAreGivenUp guards against calls of clients that have
// disconnected: they are tried again and again until their deadlines, and keep
// the others from finding out that there is service again.
func TestCallersThatHaveGoneAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		silent := func(ctx context.Context) error {
			<-ctx.Done()
			return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer")
		}
		s.holder.Store(&silent)
		var tasks sync.WaitGroup
		for i := range 5 {
			tasks.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				time.AfterFunc(50*time.Millisecond, cancel)
				err := s.jobs.Submit(ctx, primrosespar.Submission{ID: primrosespar.JobID(fmt.Sprint("gone", i)), Queue: "q"})
				require.Equal(t, primrosespar.CodeOutcomeUnknown, primrosespar.CodeOf(err))
			})
		}
		started := time.Now()
		tasks.Wait()
		require.Less(t, time.Since(started), time.Second)
		require.LessOrEqual(t, s.calls.Load(), int64(5))
		healthy := func(context.Context) error { return nil }
		s.holder.Store(&healthy)
		require.NoError(t, s.jobs.Submit(t.Context(), primrosespar.Submission{ID: "a", Queue: "q"}))
	})
}

// TestSlowProbeDoesNotKeepOthersOut guards against a call that tries for a long
// time, on a connection that has gone silent, while there is service again.
func TestSlowProbeDoesNotKeepOthersOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.silent.Store(true)
		refused := primrosespar.Submission{ID: "a", Queue: "q"}
		require.Error(t, s.jobs.Submit(t.Context(), refused))
		time.Sleep(time.Second)
		var tasks sync.WaitGroup
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_ = s.jobs.Cancel(ctx, primrosespar.JobRequest{Job: "b", Queue: "q"})
		})
		time.Sleep(10 * time.Millisecond)
		s.silent.Store(false)
		time.Sleep(1100 * time.Millisecond)
		require.NoError(t, s.jobs.Submit(t.Context(), refused))
		tasks.Wait()
	})
}
