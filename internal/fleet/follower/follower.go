// Package follower keeps the newest catalog at one host. It reads the store
// when the holder names a newer version or when nobody has confirmed the known
// one for a while, and it never goes back to an older version.
//
// # Usage
//
//	f := follower.New(source, clock)
//	go f.Run(ctx)
//	f.Confirm(news.CatalogVersion, confirmedAt)
//	catalog := f.Catalog()
package follower

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Times of the follower.
const (
	// DefaultApplyTimeout is the time within which a change has to be in force, where
	// the platform does not say.
	DefaultApplyTimeout = 3 * time.Second
	// leaderReadShare of the bound is the time between two reads of the holder.
	leaderReadShare = 1.0 / 3
	// followerReadShare of the bound is how old a confirmation by the holder may be; the
	// read that follows takes a part of the rest.
	followerReadShare = 0.63
	// maxAgeMargin is left of the limit for the call that is being answered.
	maxAgeMargin = 500 * time.Millisecond
	// checkInterval is the time between two checks.
	checkInterval = 200 * time.Millisecond
	// readTimeout bounds a read.
	readTimeout = time.Second
)

// Options configure a Follower.
type Options struct {
	// ApplyTimeout is the time within which a change has to be in force.
	ApplyTimeout time.Duration
	// MaxAge is how old a catalog may be that callers are served by; 0 is no
	// limit.
	MaxAge time.Duration
	// Leader says whether this host is the one that reads for the others.
	Leader func() bool
	// OnRead is called after each read, OnChange takes each new version and
	// OnError takes failed reads.
	OnRead   func()
	OnChange func(version primrosespar.Version, age time.Duration)
	OnError  func(err error)
}

// Option changes Options.
type Option func(*Options)

// WithOnChange sets what takes each new version.
func WithOnChange(onChange func(primrosespar.Version, time.Duration)) Option {
	return func(o *Options) { o.OnChange = onChange }
}

// WithApplyTimeout sets the time within which a change has to be in force; 0 is the
// default.
func WithApplyTimeout(timeout time.Duration) Option {
	return func(o *Options) {
		if timeout > 0 {
			o.ApplyTimeout = timeout
		}
	}
}

// WithMaxAge sets how old a catalog may be that callers are served by; 0 is no
// limit.
func WithMaxAge(maxAge time.Duration) Option { return func(o *Options) { o.MaxAge = maxAge } }

// WithLeader sets what says whether this host reads for the others.
func WithLeader(leader func() bool) Option { return func(o *Options) { o.Leader = leader } }

// WithOnRead sets what is called after each read.
func WithOnRead(onRead func()) Option { return func(o *Options) { o.OnRead = onRead } }

// WithOnError sets what takes failed reads.
func WithOnError(onError func(error)) Option { return func(o *Options) { o.OnError = onError } }

// Follower holds the catalog of one host. It is safe for concurrent use.
type Follower struct {
	source primrosespar.Source
	clock  primrosespar.Clock
	opts   Options
	wake   chan struct{}

	mu          sync.Mutex
	catalog     *primrosespar.Catalog
	confirmedAt time.Time
	announced   primrosespar.Version
}

// New returns a Follower without a catalog.
func New(source primrosespar.Source, clock primrosespar.Clock, opts ...Option) *Follower {
	f := &Follower{source: source, clock: clock, wake: make(chan struct{}, 1), opts: Options{
		ApplyTimeout: DefaultApplyTimeout,
		Leader:       func() bool { return false },
		OnRead:       func() {},
		OnChange:     func(primrosespar.Version, time.Duration) {},
		OnError:      func(error) {},
	}}
	for _, opt := range opts {
		opt(&f.opts)
	}
	return f
}

// Catalog returns the newest catalog, nil before the first.
func (f *Follower) Catalog() *primrosespar.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

// Usable returns the newest catalog if callers may be served by it: keys may
// have been taken away since it was confirmed.
func (f *Follower) Usable() *primrosespar.Catalog {
	if f.opts.MaxAge > 0 && f.Age() > f.opts.MaxAge-maxAgeMargin {
		return nil
	}
	return f.Catalog()
}

// Age returns how long ago the version was confirmed.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.confirmedAt)
}

// Confirm takes note that the version was the newest at the time.
func (f *Follower) Confirm(version primrosespar.Version, at time.Time) {
	f.mu.Lock()
	newer := f.catalog == nil || version > f.catalog.Version
	if newer {
		f.announced = max(f.announced, version)
	} else if version == f.catalog.Version && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.mu.Unlock()
	if newer {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// Run reads the catalog whenever it is due until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.needsRead() {
			f.Read(ctx)
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.clock.After(checkInterval):
		}
	}
}

// needsRead reports whether the store has to be read.
func (f *Follower) needsRead() bool {
	share := followerReadShare
	if f.opts.Leader() {
		share = leaderReadShare
	}
	maxAge := time.Duration(share * float64(f.opts.ApplyTimeout))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog == nil || f.announced > f.catalog.Version || f.clock.Since(f.confirmedAt) > maxAge
}

// Read reads the catalog once.
func (f *Follower) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := f.clock.Now()
	catalog, err := f.source.Catalog(ctx)
	if err != nil {
		f.opts.OnError(err)
		return
	}
	f.mu.Lock()
	changed := f.catalog == nil || catalog.Version > f.catalog.Version
	if changed {
		f.catalog = catalog
	}
	if catalog.Version == f.catalog.Version && requestedAt.After(f.confirmedAt) {
		f.confirmedAt = requestedAt
	}
	f.mu.Unlock()
	f.opts.OnRead()
	if changed {
		f.opts.OnChange(catalog.Version, f.clock.Since(requestedAt))
	}
}
