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
	// Clock gives time and timers.
	Clock primrosespar.Clock
	// Jitter returns a number from 0 to 1.
	Jitter func() float64
	// Leader reports whether this host is the one that polls for its place.
	Leader func() bool
	// Validity is how long a view counts as current.
	Validity time.Duration
	// Interval is the time between polls of the leader.
	Interval time.Duration
	// SelfPoll is the age of the view from which any host polls.
	SelfPoll time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithTable sets the table.
func WithTable(t primrosespar.Table) Option { return func(o *Options) { o.Table = t } }

// WithClock sets the clock.
func WithClock(c primrosespar.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithJitter sets the source of jitter.
func WithJitter(f func() float64) Option { return func(o *Options) { o.Jitter = f } }

// WithLeader sets the test whether this host polls for its place.
func WithLeader(f func() bool) Option { return func(o *Options) { o.Leader = f } }

// WithValidity sets how long a view counts as current.
func WithValidity(d time.Duration) Option { return func(o *Options) { o.Validity = d } }

// WithInterval sets the time between polls of the leader. Any other host polls
// once its view is half as old again.
func WithInterval(d time.Duration) Option {
	return func(o *Options) { o.Interval, o.SelfPoll = d, d+d/2 }
}

// Times of docs/design.md, section 8.3.
const (
	validity = 3 * time.Second
	interval = time.Second
	selfPoll = 1500 * time.Millisecond
)

const (
	// firstDelay and maxDelay bound the delay after a failed poll. The longest
	// one adds to the time that a place stays restricted after an outage.
	firstDelay = 250 * time.Millisecond
	maxDelay   = 4 * time.Second
	// minDelay bounds how often the loop looks at its state.
	minDelay = 50 * time.Millisecond
	// pageSize is the number of rows read at once.
	pageSize = 256
)

func defaults() Options {
	return Options{
		Clock:    clockwork.NewRealClock(),
		Jitter:   rand.Float64,
		Leader:   func() bool { return true },
		Validity: validity,
		Interval: interval,
		SelfPoll: selfPoll,
	}
}
