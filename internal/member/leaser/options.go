package leaser

import "time"

// Options are the times of a Leaser.
type Options struct {
	// WithDuration is how long both rows must stay unchanged before another host
	// takes over, and how long a renewal lets its holder act.
	Duration time.Duration
}

// Option sets one option.
type Option func(*Options)

// defaultDuration is three renewals of 2 s, so that two lost ones in a row do
// not cost the lease and a dead holder is replaced within 8 s.
const defaultDuration = 6 * time.Second

// WithDuration sets the lease time.
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
