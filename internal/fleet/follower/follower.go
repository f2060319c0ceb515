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
	// DefaultBound is the time within which a change has to be in force, where
	// the platform does not say.
	DefaultBound = 3 * time.Second
	// readShare of the bound is the time between two reads of the holder.
	readShare = 1.0 / 3
	// freshShare of the bound is how old a confirmation by the holder may be; the
	// read that follows takes a part of the rest.
	freshShare = 0.63
	// limitMargin is left of the limit for the call that is being answered.
	limitMargin = 500 * time.Millisecond
	// stepInterval is the time between two checks.
	stepInterval = 200 * time.Millisecond
	// readTimeout bounds a read.
	readTimeout = time.Second
)

// Options configure a Follower.
type Options struct {
	// Bound is the time within which a change has to be in force.
	Bound time.Duration
	// Limit is how old a catalog may be that callers are served by; 0 is no
	// limit.
	Limit time.Duration
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
func WithOnChange(changed func(primrosespar.Version, time.Duration)) Option {
	return func(o *Options) { o.OnChange = changed }
}

// WithBound sets the time within which a change has to be in force; 0 is the
// default.
func WithBound(bound time.Duration) Option {
	return func(o *Options) {
		if bound > 0 {
			o.Bound = bound
		}
	}
}

// WithLimit sets how old a catalog may be that callers are served by; 0 is no
// limit.
func WithLimit(limit time.Duration) Option { return func(o *Options) { o.Limit = limit } }

// WithLeader sets what says whether this host reads for the others.
func WithLeader(holding func() bool) Option { return func(o *Options) { o.Leader = holding } }

// WithOnRead sets what is called after each read.
func WithOnRead(answered func()) Option { return func(o *Options) { o.OnRead = answered } }

// WithOnError sets what takes failed reads.
func WithOnError(failed func(error)) Option { return func(o *Options) { o.OnError = failed } }

// Follower holds the catalog of one host. It is safe for concurrent use.
type Follower struct {
	source primrosespar.Source
	clock  primrosespar.Clock
	opts   Options
	wake   chan struct{}

	mu        sync.Mutex
	catalog   *primrosespar.Catalog
	confirmed time.Time
	wanted    primrosespar.Version
}

// New returns a Follower without a catalog.
func New(source primrosespar.Source, clock primrosespar.Clock, opts ...Option) *Follower {
	f := &Follower{source: source, clock: clock, wake: make(chan struct{}, 1), opts: Options{
		Bound:    DefaultBound,
		Leader:   func() bool { return false },
		OnRead:   func() {},
		OnChange: func(primrosespar.Version, time.Duration) {},
		OnError:  func(error) {},
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
	if f.opts.Limit > 0 && f.Age() > f.opts.Limit-limitMargin {
		return nil
	}
	return f.Catalog()
}

// Age returns how long ago the version was confirmed.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.confirmed)
}

// Confirm takes note that the version was the newest at the time.
func (f *Follower) Confirm(version primrosespar.Version, at time.Time) {
	f.mu.Lock()
	newer := f.catalog == nil || version > f.catalog.Version
	if newer {
		f.wanted = max(f.wanted, version)
	} else if version == f.catalog.Version && at.After(f.confirmed) {
		f.confirmed = at
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
		if f.due() {
			f.Read(ctx)
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.clock.After(stepInterval):
		}
	}
}

// due reports whether the store has to be read.
func (f *Follower) due() bool {
	share := freshShare
	if f.opts.Leader() {
		share = readShare
	}
	limit := time.Duration(share * float64(f.opts.Bound))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog == nil || f.wanted > f.catalog.Version || f.clock.Since(f.confirmed) > limit
}

// Read reads the catalog once.
func (f *Follower) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := f.clock.Now()
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
	if catalog.Version == f.catalog.Version && asked.After(f.confirmed) {
		f.confirmed = asked
	}
	f.mu.Unlock()
	f.opts.OnRead()
	if changed {
		f.opts.OnChange(catalog.Version, f.clock.Since(asked))
	}
}
