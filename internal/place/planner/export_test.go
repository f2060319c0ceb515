package planner

// WithoutGuaranteeCheck places non-preemptible work even where the unclaimed
// guaranteed blocks no longer fit, to show that the model test detects this.
func WithoutGuaranteeCheck() Option {
	return func(o *Options) { o.skipGuaranteeCheck = true }
}
