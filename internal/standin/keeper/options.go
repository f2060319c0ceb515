package keeper

import (
	"context"

	"primrosespar.example/primrosespar"
)

// Options configure a Keeper.
type Options struct {
	// Clock is required: the package reads no clock of its own.
	Clock  primrosespar.Clock
	Faults Faults
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock that rates, slowness and list lag are measured on.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithFaults sets the faults that are on from the start.
func WithFaults(faults Faults) Option {
	return func(o *Options) { o.Faults = faults }
}

// newOptions applies the options.
func newOptions(opts []Option) Options {
	var options Options
	for _, opt := range opts {
		opt(&options)
	}
	return options
}

// placeKey is the context key of the caller's place.
type placeKey struct{}

// WithPlace returns a context that names the place of the caller; a call
// without one is never cut off.
func WithPlace(ctx context.Context, place primrosespar.Place) context.Context {
	return context.WithValue(ctx, placeKey{}, place)
}

// placeOf returns the place of the caller, empty if it named none.
func placeOf(ctx context.Context) primrosespar.Place {
	place, _ := ctx.Value(placeKey{}).(primrosespar.Place)
	return place
}
