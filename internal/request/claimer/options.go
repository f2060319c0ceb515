package claimer

import (
	"time"

	"primrosespar.example/primrosespar"
)

// InlineLimit is the size above which an answer's body goes to the object
// store, so that rows stay small for the table that everybody shares.
const InlineLimit = 16 << 10

// Options are the parts and bounds of a Claimer.
type Options struct {
	Table      primrosespar.Table
	Objects    primrosespar.Objects
	Clock      primrosespar.Clock
	NewAttempt func() primrosespar.AttemptID
	// MinPollInterval and PollLast bound the pause between two looks at a claim.
	MinPollInterval time.Duration
	MaxPollInterval time.Duration
	// RetryInterval is the pause between two passes over the queued records.
	RetryInterval time.Duration
	// MaxQueuedRecords and QueueBytes bound the records that wait for the table.
	MaxQueuedRecords int
	MaxQueuedBytes   int64
	// SweepPageSize is the number of rows read at once by Sweep.
	SweepPageSize int
	// SweepDeletesPerSecond is the number of deletes per second of Sweep.
	SweepDeletesPerSecond int
	// SweepRetentionMargin is added to the retention. An end is stamped with the wall
	// clock of its host, and a claim deleted early could run twice.
	SweepRetentionMargin time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

// defaults returns bounds for one host out of about nine: the store takes
// several hundred writes a second for everybody.
func defaults() Options {
	return Options{
		MinPollInterval:       20 * time.Millisecond,
		MaxPollInterval:       500 * time.Millisecond,
		RetryInterval:         time.Second,
		MaxQueuedRecords:      4096,
		MaxQueuedBytes:        16 << 20,
		SweepPageSize:         256,
		SweepDeletesPerSecond: 5,
		SweepRetentionMargin:  time.Hour,
	}
}

// WithStore sets the table and the object store.
func WithStore(table primrosespar.Table, objects primrosespar.Objects) Option {
	return func(o *Options) { o.Table, o.Objects = table, objects }
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithAttempts sets the source of attempt ids, which must never repeat.
func WithAttempts(next func() primrosespar.AttemptID) Option {
	return func(o *Options) { o.NewAttempt = next }
}

// WithQueue bounds the records that wait for the table.
func WithQueue(count int, bytes int64) Option {
	return func(o *Options) { o.MaxQueuedRecords, o.MaxQueuedBytes = count, bytes }
}

// WithSweep sets the page size, the deletes per second and the margin of Sweep.
func WithSweep(page, writes int, margin time.Duration) Option {
	return func(o *Options) {
		o.SweepPageSize, o.SweepDeletesPerSecond, o.SweepRetentionMargin = page, writes, margin
	}
}
