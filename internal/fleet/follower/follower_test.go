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

// inForce is the time in which a stored change has to be in force.
const inForce = 3 * time.Second

// source is the store of the operators.
type source struct {
	primrosespar.Source
	mu      sync.Mutex
	version primrosespar.Version
	away    bool
}

// Catalog implements primrosespar.Source.
func (s *source) Catalog(context.Context) (*primrosespar.Catalog, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "away")
	}
	return &primrosespar.Catalog{Version: s.version}, nil
}

// set changes the store.
func (s *source) set(version primrosespar.Version, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.away = version, away
}

// run runs the body beside a follower that has version 5.
func run(t *testing.T, body func(t *testing.T, s *source, f *follower.Follower), opts ...follower.Option) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &source{version: 5}
		f := follower.New(s, clockwork.NewRealClock(), opts...)
		go f.Run(ctx)
		time.Sleep(time.Second)
		require.EqualValues(t, 5, f.Catalog().Version)
		body(t, s, f)
	})
}

// TestChangeIsInForceWithoutTheHolder guards against a host that keeps an old
// configuration because the holder no longer confirms it.
func TestChangeIsInForceWithoutTheHolder(t *testing.T) {
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		f.Confirm(5, time.Now())
		s.set(6, false)
		time.Sleep(inForce)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestNewerVersionIsReadAtOnce guards against a host that hears of a change and
// waits for its next read.
func TestNewerVersionIsReadAtOnce(t *testing.T) {
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		s.set(6, false)
		f.Confirm(6, time.Now())
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestVersionsNeverGoBack guards against a stale read that undoes a change.
func TestVersionsNeverGoBack(t *testing.T) {
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		s.set(4, false)
		time.Sleep(inForce)
		require.EqualValues(t, 5, f.Catalog().Version)
		require.Greater(t, f.Age(), inForce, "an older version confirms nothing")
	})
}

// TestOutageKeepsTheCatalog guards against a host that serves nothing while the
// store is away.
func TestOutageKeepsTheCatalog(t *testing.T) {
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		s.set(6, true)
		time.Sleep(inForce)
		require.EqualValues(t, 5, f.Catalog().Version)
		s.set(6, false)
		time.Sleep(time.Second)
		require.EqualValues(t, 6, f.Catalog().Version)
	})
}

// TestShorterBoundIsKept guards against a change that is in force too late on a
// platform that asks for less than the usual 3 s.
func TestShorterBoundIsKept(t *testing.T) {
	const bound = 1500 * time.Millisecond
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		f.Confirm(5, time.Now())
		s.set(6, false)
		time.Sleep(bound)
		require.EqualValues(t, 6, f.Catalog().Version)
	}, follower.WithBound(bound))
}

// TestOldCatalogIsNotUsed guards against a key that works at a host which is
// cut off, where the platform forbids that.
func TestOldCatalogIsNotUsed(t *testing.T) {
	const limit = 5 * time.Second
	run(t, func(t *testing.T, s *source, f *follower.Follower) {
		s.set(6, true)
		time.Sleep(2 * time.Second)
		require.NotNil(t, f.Usable())
		time.Sleep(limit - 2*time.Second)
		require.Nil(t, f.Usable())
		require.NotNil(t, f.Catalog())
		s.set(6, false)
		time.Sleep(time.Second)
		require.EqualValues(t, 6, f.Usable().Version)
	}, follower.WithLimit(limit))
}
