package server

import "time"

// Options are the limits of a Server.
type Options struct {
	// WithMaxBody bounds the body of a request in bytes.
	MaxBody int64
	// MaxDeadline bounds the time that a caller may ask to wait.
	MaxDeadline time.Duration
	// WithMaxCalls bounds the requests of callers in the host at once.
	MaxCalls int
}

// Option sets one option.
type Option func(*Options)

const (
	defaultMaxBody     = 1 << 20
	defaultMaxDeadline = 5 * time.Minute
	defaultMaxCalls    = 1024
)

// WithMaxBody sets the bound of a body in bytes.
func WithMaxBody(n int64) Option {
	return func(o *Options) { o.MaxBody = n }
}

// WithMaxCalls sets the number of requests of callers in the host at once.
func WithMaxCalls(n int) Option {
	return func(o *Options) { o.MaxCalls = n }
}

func newOptions(opts []Option) Options {
	o := Options{MaxBody: defaultMaxBody, MaxDeadline: defaultMaxDeadline, MaxCalls: defaultMaxCalls}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
