package amender

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
)

// Options configure an Amender.
type Options struct {
	// Table holds the contracts.
	Table primrosespar.Table
	// Places are all places. Each of them has to acknowledge an amendment that
	// lowers offline terms.
	Places []primrosespar.Place
	// Workers lists the workers of all places, to check that guarantees fit.
	Workers func(ctx context.Context) ([]primrosespar.WorkerEntry, error)
	// Clock provides the time and timers.
	Clock primrosespar.Clock
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
}

// Option sets one option.
type Option func(*Options)

// WithTable sets the table.
func WithTable(t primrosespar.Table) Option { return func(o *Options) { o.Table = t } }

// WithPlaces sets all places.
func WithPlaces(p ...primrosespar.Place) Option { return func(o *Options) { o.Places = p } }

// WithWorkers sets the function that lists the workers.
func WithWorkers(f func(context.Context) ([]primrosespar.WorkerEntry, error)) Option {
	return func(o *Options) { o.Workers = f }
}

// WithClock sets the clock.
func WithClock(c primrosespar.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithJitter sets the source of jitter.
func WithJitter(f func() float64) Option { return func(o *Options) { o.Jitter = f } }

// Bounds of one call. Twelve attempts, with delays that double from 50 ms up to
// 1 s and that jitter shortens by up to half, wait about 4 to 8 s in all; 8 s is
// longer than a failover of the store.
const (
	maxAttempts = 12
	firstDelay  = 50 * time.Millisecond
	maxDelay    = time.Second
	// maxStaleReads is the maximum number of reads older than the version that
	// the amendment names, so that a version that does not exist is refused in
	// less than a second.
	maxStaleReads = 3
	// maxLaterRevisions is the maximum number of later revisions of an account
	// that are read to find an amendment in the log.
	maxLaterRevisions = 1000
	// pageSize is the number of rows read at once.
	pageSize = 128
	// restrictedAfter is the time after which a place that has not acknowledged
	// a change serves only its offline terms.
	restrictedAfter = 7 * time.Second
)

// defaultOptions returns the options that New starts from.
func defaultOptions() Options {
	return Options{
		Clock:   clockwork.NewRealClock(),
		Jitter:  rand.Float64,
		Workers: func(context.Context) ([]primrosespar.WorkerEntry, error) { return nil, nil },
	}
}
