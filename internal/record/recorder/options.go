package recorder

import (
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
)

// Options configure a Recorder.
type Options struct {
	// Objects is the store that batches are written to.
	Objects primrosespar.Objects
	// Clock provides the time and timers.
	Clock       primrosespar.Clock
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	// Capacity limits the decisions in the buffer.
	Capacity int
	// Budget returns how many bytes this host may write per Interval: its share
	// of the budget of the place, which is divided among the live hosts.
	Budget func() int
	// Interval is the time between batches.
	Interval time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithObjects sets the object store.
func WithObjects(objects primrosespar.Objects) Option {
	return func(o *Options) { o.Objects = objects }
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithHost sets the place, the host and its incarnation.
func WithHost(place primrosespar.Place, host primrosespar.Host, incarnation primrosespar.Incarnation) Option {
	return func(o *Options) { o.Place, o.Host, o.Incarnation = place, host, incarnation }
}

// WithCapacity sets how many decisions the buffer holds.
func WithCapacity(n int) Option { return func(o *Options) { o.Capacity = n } }

// WithBudget sets the function that returns the bytes per interval.
func WithBudget(budget func() int) Option { return func(o *Options) { o.Budget = budget } }

const (
	// defaultInterval and defaultBudget are specified in docs/design.md,
	// section 8.7.
	defaultInterval = 10 * time.Second
	defaultBudget   = 64 << 10
	// minBudget allows a few records per interval even if the place has many
	// hosts.
	minBudget = 4 << 10
	// defaultCapacity keeps the buffer below about 12 MB with texts of maximum
	// length.
	defaultCapacity = 8192
	// maxTextLength limits the subject and the detail of a decision, in bytes.
	maxTextLength = 512
	// maxFigures limits the figures of a decision.
	maxFigures = 16
	// finalFlushTimeout limits the write of the last batch on shutdown.
	finalFlushTimeout = 2 * time.Second
)

func defaultOptions() Options {
	return Options{
		Clock:    clockwork.NewRealClock(),
		Capacity: defaultCapacity,
		Budget:   func() int { return defaultBudget },
		Interval: defaultInterval,
	}
}
