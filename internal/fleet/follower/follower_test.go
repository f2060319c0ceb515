package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/follower"
)

// applyTimeout is the time in which a stored change has to be in force.
const applyTimeout = 3 * time.Second

// fakeSource is the store of the operators.
type fakeSource struct {
	primrosespar.Source
	mu          sync.Mutex
	version     primrosespar.Version
	unavailable bool
}

// Catalog implements primrosespar.Source.
func (s *fakeSource) Catalog(context.Context) (*primrosespar.Catalog, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "away")
	}
	return &primrosespar.Catalog{Version: s.version}, nil
}

// set changes the store.
func (s *fakeSource) set(version primrosespar.Version, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.unavailable = version, unavailable
}

// runWithFollower runs the body beside a follower that has version 5.
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
// configuration because the holder no longer confirms it.
func TestChangeIsAppliedWithoutHolder(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		f.Confirm(5, time.Now())
		s.set(6, false)
		time.Sleep(applyTimeout)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestAnnouncedVersionIsReadAtOnce guards against a host that hears of a change and
// waits for its next read.
func TestAnnouncedVersionIsReadAtOnce(t *testing.T) {
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		s.set(6, false)
		f.Confirm(6, time.Now())
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
		require.Greater(t, f.Age(), applyTimeout, "an older version confirms nothing")
	})
}

// TestOutageKeepsTheCatalog guards against a host that serves nothing while the
// store is away.
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

// TestShorterApplyTimeoutIsKept guards against a change that is in force too late on a
// platform that asks for less than the usual 3 s.
func TestShorterApplyTimeoutIsKept(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	runWithFollower(t, func(t *testing.T, s *fakeSource, f *follower.Follower) {
		f.Confirm(5, time.Now())
		s.set(6, false)
		time.Sleep(timeout)
		require.EqualValues(t, 6, f.Catalog().Version)
	}, follower.WithApplyTimeout(timeout))
}

// TestStaleCatalogIsNotUsable guards against a key that works at a host which is
// cut off, where the platform forbids that.
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
