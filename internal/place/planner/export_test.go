package planner

// WithoutReserve switches the reservation check off, to show that the state
// machine sees its absence.
func WithoutReserve() Option {
	return func(o *Options) { o.ignoreReserve = true }
}
