package submitter

import (
	"crypto/rand"

	"primrosespar.example/primrosespar"
)

// Options are the optional settings of a Submitter.
type Options struct {
	// Random returns n random bytes.
	Random func(n int) []byte
	// Check returns an error for a shape that can never fit in the place.
	Check func(primrosespar.Shape) error
	// MaxPayload is the largest payload of a job in bytes.
	MaxPayload int
	// Hosts returns the number of live hosts of the place, which share its
	// rates.
	Hosts func() int
}

// Option sets one option.
type Option func(*Options)

// WithRandom sets the source of random bytes.
func WithRandom(f func(n int) []byte) Option {
	return func(o *Options) { o.Random = f }
}

// WithCheck sets the function that returns an error for a shape that can never
// fit in the place.
func WithCheck(f func(primrosespar.Shape) error) Option {
	return func(o *Options) { o.Check = f }
}

// WithMaxPayload sets the largest payload of a job in bytes.
func WithMaxPayload(bytes int) Option {
	return func(o *Options) { o.MaxPayload = bytes }
}

// WithHosts sets the function that returns the number of live hosts of the
// place.
func WithHosts(f func() int) Option {
	return func(o *Options) { o.Hosts = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Hosts:      func() int { return 1 },
		Random:     randomBytes,
		Check:      func(primrosespar.Shape) error { return nil },
		MaxPayload: defaultMaxPayload,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return b
}
