package follower

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
)

// Options configure a Follower.
type Options struct {
	// Table holds the contracts.
	Table primrosespar.Table
	// Clock provides the time and timers. It should count suspensions of the
	// machine, since the age of the view does.
	Clock primrosespar.Clock
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	// Leader reports whether this host polls on behalf of its place.
	Leader func() bool
	// Validity is how long a view counts as current after it was confirmed.
	Validity time.Duration
	// Interval is the time between two polls of the leader.
	Interval time.Duration
	// NonLeaderInterval is the age of the view at which a host that is not the
	// leader polls.
	NonLeaderInterval time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithTable sets the table.
func WithTable(t primrosespar.Table) Option { return func(o *Options) { o.Table = t } }

// WithClock sets the clock.
func WithClock(c primrosespar.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithJitter sets the source of jitter.
func WithJitter(f func() float64) Option { return func(o *Options) { o.Jitter = f } }

// WithLeader sets the function that reports whether this host polls on behalf
// of its place.
func WithLeader(f func() bool) Option { return func(o *Options) { o.Leader = f } }

// WithValidity sets how long a view counts as current.
func WithValidity(d time.Duration) Option { return func(o *Options) { o.Validity = d } }

// WithInterval sets the time between two polls of the leader. Other hosts poll
// once their view is 1.5 times as old.
func WithInterval(d time.Duration) Option {
	return func(o *Options) { o.Interval, o.NonLeaderInterval = d, d+d/2 }
}

// Default times; see section 8.3 of docs/design.md.
const (
	defaultValidity          = 3 * time.Second
	defaultInterval          = time.Second
	defaultNonLeaderInterval = 1500 * time.Millisecond
)

const (
	// firstDelay and maxDelay bound the delay after a failed poll. A place
	// stays restricted for up to maxDelay longer than an outage lasts.
	firstDelay = 250 * time.Millisecond
	maxDelay   = 4 * time.Second
	// minDelay is the minimum delay between two steps of the loop.
	minDelay = 50 * time.Millisecond
	// pageSize is the number of rows read at once.
	pageSize = 256
)

// defaultOptions returns the options that New starts from.
func defaultOptions() Options {
	return Options{
		Clock:             clockwork.NewRealClock(),
		Jitter:            rand.Float64,
		Leader:            func() bool { return true },
		Validity:          defaultValidity,
		Interval:          defaultInterval,
		NonLeaderInterval: defaultNonLeaderInterval,
	}
}
