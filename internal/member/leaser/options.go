package leaser

import "time"

// Options are the settings of a Leaser.
type Options struct {
	// Duration is how long both rows must stay unchanged before another host
	// acquires the lease, and how long the holder may act after a renewal.
	Duration time.Duration
}

// Option sets one option.
type Option func(*Options)

// defaultDuration is three renewal intervals of 2 s: two failed renewals in a
// row do not lose the lease, and a dead holder is replaced within 8 s.
const defaultDuration = 6 * time.Second

// WithDuration sets the duration of the lease.
func WithDuration(d time.Duration) Option {
	return func(o *Options) { o.Duration = d }
}

func newOptions(opts []Option) Options {
	o := Options{Duration: defaultDuration}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
