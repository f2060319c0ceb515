package server

import "time"

// Options are the limits of a Server.
type Options struct {
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// MaxDeadline is the longest deadline that a caller may ask for.
	MaxDeadline time.Duration
	// MaxCallerRequests is the largest number of requests of callers at once.
	MaxCallerRequests int
}

// Option sets one of the Options.
type Option func(*Options)

const (
	defaultMaxBody           = 1 << 20
	defaultMaxDeadline       = 5 * time.Minute
	defaultMaxCallerRequests = 1024
)

// WithMaxBody sets the largest body of a request in bytes.
func WithMaxBody(n int64) Option {
	return func(o *Options) { o.MaxBody = n }
}

// WithMaxCallerRequests sets the largest number of requests of callers at once.
func WithMaxCallerRequests(n int) Option {
	return func(o *Options) { o.MaxCallerRequests = n }
}

func newOptions(opts []Option) Options {
	o := Options{MaxBody: defaultMaxBody, MaxDeadline: defaultMaxDeadline, MaxCallerRequests: defaultMaxCallerRequests}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
