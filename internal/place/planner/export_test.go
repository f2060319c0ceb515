package planner

// WithoutGuaranteeCheck switches the reservation check off, to show that the state
// machine sees its absence.
func WithoutGuaranteeCheck() Option {
	return func(o *Options) { o.skipGuaranteeCheck = true }
}
