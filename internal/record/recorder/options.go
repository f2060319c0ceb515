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
func WithObjects(o primrosespar.Objects) Option { return func(s *Options) { s.Objects = o } }

// WithClock sets the clock.
func WithClock(c primrosespar.Clock) Option { return func(s *Options) { s.Clock = c } }

// WithIdentity sets the place, the host and its incarnation.
func WithIdentity(p primrosespar.Place, h primrosespar.Host, i primrosespar.Incarnation) Option {
	return func(s *Options) { s.Place, s.Host, s.Incarnation = p, h, i }
}

// WithCapacity sets the bound of decisions that wait.
func WithCapacity(n int) Option { return func(s *Options) { s.Capacity = n } }

// WithBudget sets the bytes per interval.
func WithBudget(f func() int) Option { return func(s *Options) { s.Budget = f } }

const (
	// interval and budget are those of docs/design.md, section 8.7.
	interval = 10 * time.Second
	budget   = 64 << 10
	// minBudget leaves room for a few records when the place has many hosts.
	minBudget = 4 << 10
	// capacity keeps the buffer below about 12 MB at the bound on texts.
	capacity = 8192
	// maxText bounds subject and detail of one decision.
	maxText = 512
	// maxFigures bounds the figures of one decision.
	maxFigures = 16
	// lastFlush bounds the write at the end of the process.
	lastFlush = 2 * time.Second
)

func defaults() Options {
	return Options{
		Clock:    clockwork.NewRealClock(),
		Capacity: capacity,
		Budget:   func() int { return budget },
		Interval: interval,
	}
}
