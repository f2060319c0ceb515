package recorder

import (
	"time"

	"github.com/jonboulle/clockwork"

	"primrosespar.example/primrosespar"
)

// Options configure a Recorder.
type Options struct {
	// Objects is where batches go.
	Objects primrosespar.Objects
	// Clock gives time and timers.
	Clock       primrosespar.Clock
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	// Capacity bounds the decisions that wait.
	Capacity int
	// Budget returns the bytes that this host may write per Interval: the
	// budget of the place divided by its live hosts.
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

// WithIdentity sets the place, the host and its incarnation.
func WithIdentity(place primrosespar.Place, host primrosespar.Host, incarnation primrosespar.Incarnation) Option {
	return func(o *Options) { o.Place, o.Host, o.Incarnation = place, host, incarnation }
}

// WithCapacity sets the bound of decisions that wait.
func WithCapacity(n int) Option { return func(o *Options) { o.Capacity = n } }

// WithBudget sets the bytes per interval.
func WithBudget(budget func() int) Option { return func(o *Options) { o.Budget = budget } }

const (
	// defaultInterval and budget are those of docs/design.md, section 8.7.
	defaultInterval = 10 * time.Second
	defaultBudget   = 64 << 10
	// minBudget leaves room for a few records when the place has many hosts.
	minBudget = 4 << 10
	// defaultCapacity keeps the buffer below about 12 MB at the bound on texts.
	defaultCapacity = 8192
	// maxTextLength bounds subject and detail of one decision.
	maxTextLength = 512
	// maxFigures bounds the figures of one decision.
	maxFigures = 16
	// finalFlushTimeout bounds the write at the end of the process.
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
