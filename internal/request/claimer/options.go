package claimer

import (
	"time"

	"primrosespar.example/primrosespar"
)

// InlineLimit is the size in bytes above which the body of an answer goes to
// the object store, to keep the rows of the shared table small.
const InlineLimit = 16 << 10

// Options are the dependencies and limits of a Claimer.
type Options struct {
	Table      primrosespar.Table
	Objects    primrosespar.Objects
	Clock      primrosespar.Clock
	NewAttempt func() primrosespar.AttemptID
	// MinPollInterval and MaxPollInterval bound the backoff between two reads
	// of a claim, and between two tries to write one or to fetch an answer.
	MinPollInterval time.Duration
	MaxPollInterval time.Duration
	// RetryInterval is the pause between two passes over the queued records.
	RetryInterval time.Duration
	// MaxQueuedRecords and MaxQueuedBytes bound the records that wait to be
	// written to the table.
	MaxQueuedRecords int
	MaxQueuedBytes   int64
	// SweepPageSize is the number of rows that Sweep reads in one scan.
	SweepPageSize int
	// SweepDeletesPerSecond is the rate limit of Sweep.
	SweepDeletesPerSecond int
	// SweepRetentionMargin is added to the retention: the end of a claim is
	// stamped by the wall clock of its host, which may be wrong, and a key
	// whose claim is deleted too early could run twice.
	SweepRetentionMargin time.Duration
}

// Option sets one option.
type Option func(*Options)

// defaultOptions returns limits for one of about nine hosts that share a store,
// which handles several hundred writes per second in total.
func defaultOptions() Options {
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

// WithAttempts sets the function that returns a new, unique attempt ID.
func WithAttempts(newAttempt func() primrosespar.AttemptID) Option {
	return func(o *Options) { o.NewAttempt = newAttempt }
}

// WithQueue limits the records that wait to be written to the table.
func WithQueue(count int, bytes int64) Option {
	return func(o *Options) { o.MaxQueuedRecords, o.MaxQueuedBytes = count, bytes }
}

// WithSweep sets the page size, the deletes per second and the retention margin
// of Sweep.
func WithSweep(page, writes int, margin time.Duration) Option {
	return func(o *Options) {
		o.SweepPageSize, o.SweepDeletesPerSecond, o.SweepRetentionMargin = page, writes, margin
	}
}
