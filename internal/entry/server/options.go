package server

import "time"

// Options are the limits of a Server.
type Options struct {
	// MaxBody bounds the body of a request in bytes.
	MaxBody int64
	// MaxDeadline bounds the time that a caller may ask to wait.
	MaxDeadline time.Duration
}

// Option sets one option.
type Option func(*Options)

const (
	defaultMaxBody     = 1 << 20
	defaultMaxDeadline = 5 * time.Minute
)

// MaxBody sets the bound of a body in bytes.
func MaxBody(n int64) Option {
	return func(o *Options) { o.MaxBody = n }
}

func newOptions(opts []Option) Options {
	o := Options{MaxBody: defaultMaxBody, MaxDeadline: defaultMaxDeadline}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
