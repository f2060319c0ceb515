// Package follower keeps the newest catalog at one host. It reads the catalog
// from the source when the holder announces a newer version or when the known
// version has not been confirmed for a while. It never goes back to an older
// version.
//
// # Usage
//
//	f := follower.New(source, clock)
//	go f.Run(ctx)
//	f.Confirm(confirmation, heartbeatSentAt)
//	catalog := f.Catalog()
//
// The holder passes its own Confirmation to the other hosts.
package follower

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Intervals and timeouts of the follower.
const (
	// DefaultApplyTimeout is the time within which a change of the catalog has
	// to take effect, unless the platform sets another.
	DefaultApplyTimeout = 3 * time.Second
	// leaderReadShare is the share of the apply timeout between two reads of
	// the host that holds the fleet lease.
	leaderReadShare = 1.0 / 8
	// followerReadShare is the share of the apply timeout after which the other
	// hosts read a catalog that the holder has not confirmed again. Two reads
	// without an answer and one with an answer fit into the rest.
	followerReadShare = 1.0 / 2
	// readTimeoutShare is the share of the apply timeout that bounds a read. The
	// bound doubles with each read that gets no answer, up to maxDoublings
	// times, so that a slow store is read as well.
	readTimeoutShare = 1.0 / 8
	maxDoublings     = 2
	// maxAgeMargin is subtracted from the maximum age, for the duration of the
	// call that is served.
	maxAgeMargin = 500 * time.Millisecond
	// checkInterval bounds the time between two checks, because the host may
	// acquire the lease meanwhile.
	checkInterval = 200 * time.Millisecond
	// minReadInterval is the minimum time between the beginnings of two reads,
	// unless the holder announces a version.
	minReadInterval = 200 * time.Millisecond
	// maxObservations bounds the observations that are kept while the holder's
	// reads fail.
	maxObservations = 64
)

// Options configure a Follower.
type Options struct {
	// ApplyTimeout is the time within which a change has to take effect.
	ApplyTimeout time.Duration
	// MaxAge is the maximum age of a catalog for serving callers; 0 is no
	// limit.
	MaxAge time.Duration
	// Leader reports whether this host holds the fleet lease and so confirms
	// versions to the others.
	Leader func() bool
	// OnRead is called after each successful read. OnChange receives each new
	// version. OnError receives failed reads.
	OnRead   func()
	OnChange func(change primrosespar.CatalogChange)
	OnError  func(err error)
}

// Option sets one option.
type Option func(*Options)

// WithOnChange sets the function that receives each new version.
func WithOnChange(onChange func(primrosespar.CatalogChange)) Option {
	return func(o *Options) { o.OnChange = onChange }
}

// WithApplyTimeout sets the time within which a change has to take effect; 0
// keeps the default.
func WithApplyTimeout(timeout time.Duration) Option {
	return func(o *Options) {
		if timeout > 0 {
			o.ApplyTimeout = timeout
		}
	}
}

// WithMaxAge sets the maximum age of a catalog for serving callers; 0 is no
// limit.
func WithMaxAge(maxAge time.Duration) Option { return func(o *Options) { o.MaxAge = maxAge } }

// WithLeader sets the function that reports whether this host holds the fleet
// lease.
func WithLeader(leader func() bool) Option { return func(o *Options) { o.Leader = leader } }

// WithOnRead sets the function that is called after each successful read.
func WithOnRead(onRead func()) Option { return func(o *Options) { o.OnRead = onRead } }

// WithOnError sets the function that receives failed reads.
func WithOnError(onError func(error)) Option { return func(o *Options) { o.OnError = onError } }

// Follower holds the catalog of one host. It is safe for concurrent use.
type Follower struct {
	source primrosespar.Source
	clock  primrosespar.Clock
	opts   Options
	wake   chan struct{}

	mu      sync.Mutex
	catalog *primrosespar.Catalog
	// confirmedAt is when the catalog was last known to be the newest version.
	confirmedAt time.Time
	// announced is the newest version that the holder has announced.
	announced primrosespar.Version
	// reads counts the reads that have begun, and confirmedRead is the number of
	// the last one that found the catalog to be the newest.
	reads         uint64
	confirmedRead uint64
	// holder is the holder that sent the last confirmation, and observations are
	// the earlier confirmations of this holder that its next reads are compared
	// with, in order.
	holder       primrosespar.Token
	observations []observation
	// unanswered counts the reads without an answer since the last one with an
	// answer.
	unanswered int
}

// observation records that the holder had begun a number of reads when it
// answered a heartbeat that was sent at sentAt. Each later read of the holder
// began after sentAt.
type observation struct {
	reads  uint64
	sentAt time.Time
}

// New returns a Follower without a catalog.
func New(source primrosespar.Source, clock primrosespar.Clock, opts ...Option) *Follower {
	f := &Follower{source: source, clock: clock, wake: make(chan struct{}, 1), opts: Options{
		ApplyTimeout: DefaultApplyTimeout,
		Leader:       func() bool { return false },
		OnRead:       func() {},
		OnChange:     func(primrosespar.CatalogChange) {},
		OnError:      func(error) {},
	}}
	for _, opt := range opts {
		opt(&f.opts)
	}
	return f
}

// Catalog returns the newest catalog, or nil before the first read.
func (f *Follower) Catalog() *primrosespar.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

// Usable returns the newest catalog, or nil if it is too old to serve callers:
// API keys may have been revoked since it was confirmed.
func (f *Follower) Usable() *primrosespar.Catalog {
	if f.opts.MaxAge > 0 && f.Age() > f.opts.MaxAge-maxAgeMargin {
		return nil
	}
	return f.Catalog()
}

// Age returns the time since the version was last confirmed.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.confirmedAt)
}

// Confirmation returns what this host, if it is the holder, says about its
// reads. The caller sets the holder's token.
func (f *Follower) Confirmation() primrosespar.CatalogConfirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmation := primrosespar.CatalogConfirmation{Read: f.confirmedRead, Reads: f.reads}
	if f.catalog != nil {
		confirmation.Version = f.catalog.Version
	}
	return confirmation
}

// Confirm records what the holder answered to a heartbeat that was sent at
// sentAt. A version that is newer than the catalog is read at once.
func (f *Follower) Confirm(confirmation primrosespar.CatalogConfirmation, sentAt time.Time) {
	f.mu.Lock()
	readAfter := f.observe(confirmation, sentAt)
	newer := f.catalog == nil || confirmation.Version > f.catalog.Version
	if newer {
		f.announced = max(f.announced, confirmation.Version)
	} else if confirmation.Version == f.catalog.Version && readAfter.After(f.confirmedAt) {
		f.confirmedAt = readAfter
	}
	f.mu.Unlock()
	if newer {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// observe records a confirmation and returns a time after which the holder
// began the read that confirms its version, or the zero time if there is none.
// The caller holds the lock.
func (f *Follower) observe(confirmation primrosespar.CatalogConfirmation, sentAt time.Time) time.Time {
	if confirmation.Holder != f.holder {
		f.holder, f.observations = confirmation.Holder, nil
	}
	var readAfter time.Time
	for len(f.observations) > 0 && f.observations[0].reads < confirmation.Read {
		readAfter = f.observations[0].sentAt
		f.observations = f.observations[1:]
	}
	if last := len(f.observations) - 1; last >= 0 && f.observations[last].reads == confirmation.Reads {
		f.observations[last].sentAt = sentAt
	} else {
		f.observations = append(f.observations, observation{confirmation.Reads, sentAt})
	}
	if len(f.observations) > maxObservations {
		f.observations = f.observations[1:]
	}
	return readAfter
}

// Run reads the catalog whenever it is due until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := f.untilDue(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-f.clock.After(min(wait, checkInterval)):
			}
			continue
		}
		startedAt := f.clock.Now()
		f.Read(ctx)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.clock.After(minReadInterval - f.clock.Since(startedAt)):
		}
	}
}

// untilDue returns the time until the catalog has to be read.
func (f *Follower) untilDue() time.Duration {
	share := followerReadShare
	if f.opts.Leader() {
		share = leaderReadShare
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog == nil || f.announced > f.catalog.Version {
		return 0
	}
	return f.shareOfTimeout(share) - f.clock.Since(f.confirmedAt)
}

// shareOfTimeout returns the share of the apply timeout.
func (f *Follower) shareOfTimeout(share float64) time.Duration {
	return time.Duration(share * float64(f.opts.ApplyTimeout))
}

// readTimeout returns the bound on the next read.
func (f *Follower) readTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shareOfTimeout(readTimeoutShare) << min(f.unanswered, maxDoublings)
}

// Read reads the catalog once and adopts it if it is newer than the known one.
func (f *Follower) Read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, f.readTimeout())
	defer cancel()
	requestedAt, read := f.beginRead()
	catalog, err := f.source.Catalog(readCtx)
	f.countUnanswered(readCtx.Err() != nil)
	if err != nil {
		f.opts.OnError(err)
		return
	}
	change, changed := f.adopt(catalog, read, requestedAt)
	f.opts.OnRead()
	if changed {
		f.opts.OnChange(change)
	}
}

// beginRead returns the time and the number of a read that begins.
func (f *Follower) beginRead() (requestedAt time.Time, read uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.clock.Now(), f.reads
}

// countUnanswered counts a read that got no answer, or forgets the earlier ones
// after an answer.
func (f *Follower) countUnanswered(timedOut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered++
	if !timedOut {
		f.unanswered = 0
	}
}

// adopt replaces the catalog by a newer one and records what the read with the
// given number, which began at requestedAt, confirms. It reports whether the
// catalog changed.
func (f *Follower) adopt(catalog *primrosespar.Catalog, read uint64, requestedAt time.Time) (change primrosespar.CatalogChange, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	changed = f.catalog == nil || catalog.Version > f.catalog.Version
	if changed {
		change = primrosespar.CatalogChange{
			Version: catalog.Version, Announced: f.announced >= catalog.Version, ReadTime: now.Sub(requestedAt),
		}
		if f.catalog != nil {
			change.Previous, change.Unconfirmed = f.catalog.Version, now.Sub(f.confirmedAt)
		}
		f.catalog = catalog
	}
	if catalog.Version == f.catalog.Version {
		f.confirmedRead = read
		if requestedAt.After(f.confirmedAt) {
			f.confirmedAt = requestedAt
		}
	}
	return change, changed
}
