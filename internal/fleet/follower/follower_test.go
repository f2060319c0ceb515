package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/follower"
)

// applyTimeout is the time within which a stored change has to take effect.
const applyTimeout = 3 * time.Second

// fakeSource is a primrosespar.Source with the version that a test sets.
type fakeSource struct {
	primrosespar.Source
	mu          sync.Mutex
	version     primrosespar.Version
	unavailable bool
	// unanswered is the number of reads that get no answer from now on.
	unanswered int
}

// Catalog implements primrosespar.Source.
func (s *fakeSource) Catalog(ctx context.Context) (*primrosespar.Catalog, error) {
	s.mu.Lock()
	lost := s.unanswered > 0
	if lost {
		s.unanswered--
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "no answer").WithCause(ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "unavailable")
	}
	return &primrosespar.Catalog{Version: s.version}, nil
}

// set sets the version and whether the source is unavailable.
func (s *fakeSource) set(version primrosespar.Version, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.unavailable = version, unavailable
}

// loseReads makes the next reads get no answer.
func (s *fakeSource) loseReads(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = count
}

// confirm tells the follower that the holder has just found the version to be
// the newest.
func confirm(f *follower.Follower, version primrosespar.Version) {
	f.Confirm(primrosespar.CatalogConfirmation{Holder: 1, Version: version, Read: 1, Reads: 1}, time.Now())
	f.Confirm(primrosespar.CatalogConfirmation{Holder: 1, Version: version, Read: 2, Reads: 2}, time.Now())
}

// runWithFollower runs the body with a follower that has version 5, in a
// synctest bubble.
func runWithFollower(t *testing.T, body func(t *testing.T, s *fakeSource, f *follower.Follower), opts ...follower.Option) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fakeSource{version: 5}
		f := follower.New(s, clockwork.NewRealClock(), opts...)
		go f.Run(ctx)
		time.Sleep(time.Second)
		require.EqualValues(t, 5, f.Catalog().Version)
		body(t, s, f)
	})
}

// TestChangeIsAppliedWithoutHolder guards against a host that keeps an old
// catalog because it no longer hears from the holder.
func TestChangeIsAppliedWithoutHolder(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		confirm(f, 5)
		s.set(6, false)
		time.Sleep(applyTimeout)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestChangeIsAppliedInTimeAfterLostReads guards against a change that takes
// effect too late because the holder is lost and reads of the catalog get no
// answer.
func TestChangeIsAppliedInTimeAfterLostReads(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
			confirm(f, 5)
			s.set(6, false)
			s.loseReads(lost)
			time.Sleep(applyTimeout)
			require.EqualValues(t, 6, f.Catalog().Version, "%d reads lost", lost)
		})
	}
}

// suspendableClock is the clock of a process that can be suspended, during
// which it stands still.
type suspendableClock struct {
	clockwork.Clock
	stoodStill atomic.Int64
}

// Now implements primrosespar.Clock.
func (c *suspendableClock) Now() time.Time {
	return c.Clock.Now().Add(-time.Duration(c.stoodStill.Load()))
}

// Since implements primrosespar.Clock.
func (c *suspendableClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// TestSuspendedHolderConfirmsNothingNew guards against a change that takes
// effect too late because a holder that was suspended, twice, counts its last
// read as recent and so confirms an old version.
func TestSuspendedHolderConfirmsNothingNew(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		clock := &suspendableClock{Clock: clockwork.NewRealClock()}
		holder := follower.New(s, clock)
		heartbeat := func() { f.Confirm(holder.Confirmation(), time.Now()) }
		for range 2 {
			heartbeat()
			holder.Read(t.Context())
			heartbeat()
		}
		s.set(6, false)
		changedAt := time.Now()
		for range 2 {
			const suspended = 1300 * time.Millisecond
			time.Sleep(suspended)
			clock.stoodStill.Add(int64(suspended))
			heartbeat()
		}
		time.Sleep(applyTimeout - time.Since(changedAt))
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestHolderConfirmsVersion guards against hosts that all read the store
// although the holder reads it for them.
func TestHolderConfirmsVersion(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		holder := follower.New(s, clockwork.NewRealClock())
		for range 20 {
			holder.Read(t.Context())
			f.Confirm(holder.Confirmation(), time.Now())
			time.Sleep(400 * time.Millisecond)
			require.Less(t, f.Age(), applyTimeout/2)
		}
		require.EqualValues(t, 1, f.Confirmation().Reads)
	})
}

// TestAnnouncedVersionIsReadAtOnce guards against a host that is told of a new
// version and waits for its next regular read.
func TestAnnouncedVersionIsReadAtOnce(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		s.set(6, false)
		confirm(f, 6)
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestOlderVersionIsIgnored guards against a stale read that undoes a change.
func TestOlderVersionIsIgnored(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		s.set(4, false)
		time.Sleep(applyTimeout)
		require.EqualValues(t, 5, f.Catalog().Version)
		require.Greater(t, f.Age(), applyTimeout, "an older version must not confirm the known one")
	})
}

// TestOutageKeepsTheCatalog guards against a host that loses its catalog while
// the store is unavailable.
func TestOutageKeepsTheCatalog(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		s.set(6, true)
		time.Sleep(applyTimeout)
		require.EqualValues(t, 5, f.Catalog().Version)
		s.set(6, false)
		time.Sleep(time.Second)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestShorterApplyTimeoutIsKept guards against a change that takes effect too
// late on a platform that requires less than the default of 3 s.
func TestShorterApplyTimeoutIsKept(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		confirm(f, 5)
		s.set(6, false)
		time.Sleep(timeout)
		require.EqualValues(t, 6, f.Catalog().Version)
	}, follower.WithApplyTimeout(timeout))
}

// TestStaleCatalogIsNotUsable guards against a revoked key that still works at
// a host that is cut off from the store, where the platform limits the age of
// the catalog.
func TestStaleCatalogIsNotUsable(t *testing.T) {
	const maxAge = 5 * time.Second
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		s.set(6, true)
		time.Sleep(2 * time.Second)
		require.NotNil(t, f.Usable())
		time.Sleep(maxAge - 2*time.Second)
		require.Nil(t, f.Usable())
		require.NotNil(t, f.Catalog())
		s.set(6, false)
		time.Sleep(time.Second)
		require.EqualValues(t, 6, f.Usable().Version)
	}, follower.WithMaxAge(maxAge))
}

// TestChangeSaysHowItWasLearned guards against a log that cannot tell a version
// that the holder announced from one that the host found on its own.
func TestChangeSaysHowItWasLearned(t *testing.T) {
	changes := make(chan primrosespar.CatalogChange, 3)
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		confirm(f, 5)
		s.set(6, false)
		time.Sleep(applyTimeout)
		s.set(7, false)
		confirm(f, 7)
		time.Sleep(time.Millisecond)
		require.Equal(t, primrosespar.CatalogChange{Version: 5}, <-changes)
		own := <-changes
		require.EqualValues(t, 5, own.Previous)
		require.False(t, own.Announced)
		require.Greater(t, own.Unconfirmed, time.Second)
		require.True(t, (<-changes).Announced)
	}, follower.WithOnChange(func(change primrosespar.CatalogChange) { changes <- change }))
}
