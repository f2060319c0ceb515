package keeper

import (
	"context"

	"primrosespar.example/primrosespar"
)

// Options configure a Keeper.
type Options struct {
	// Clock is required; the package never reads the system clock.
	Clock primrosespar.Clock
	// Faults are in effect from the start.
	Faults Faults
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock for rate limits, delays and the lag of the host
// list.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithFaults sets the faults that are in effect from the start.
func WithFaults(faults Faults) Option {
	return func(o *Options) { o.Faults = faults }
}

// newOptions returns the Options that opts select.
func newOptions(opts []Option) Options {
	var options Options
	for _, opt := range opts {
		opt(&options)
	}
	return options
}

// placeKey is the context key under which the caller's place is stored.
type placeKey struct{}

// WithPlace returns a context that carries the caller's place. A call without a
// place is never cut off.
func WithPlace(ctx context.Context, place primrosespar.Place) context.Context {
	return context.WithValue(ctx, placeKey{}, place)
}

// placeOf returns the caller's place, or an empty one if the context has none.
func placeOf(ctx context.Context) primrosespar.Place {
	place, _ := ctx.Value(placeKey{}).(primrosespar.Place)
	return place
}
