package cleaner

// Options holds the limits of a Cleaner.
type Options struct {
	// PageSize is the number of rows read at once.
	PageSize int
	// DeletesPerSecond limits the rate of deletes.
	DeletesPerSecond int
	// MaxTracked bounds the rows of ended gangs that are tracked at once.
	// Further rows are tracked once others have been deleted.
	MaxTracked int
}

// Option sets one option.
type Option func(*Options)

// WithPageSize sets the number of rows read at once.
func WithPageSize(rows int) Option { return func(o *Options) { o.PageSize = rows } }

// WithDeletesPerSecond limits the rate of deletes.
func WithDeletesPerSecond(perSecond int) Option {
	return func(o *Options) { o.DeletesPerSecond = perSecond }
}

// WithMaxTracked bounds the rows of ended gangs that are tracked at once.
func WithMaxTracked(rows int) Option { return func(o *Options) { o.MaxTracked = rows } }

// newOptions applies the options to the defaults. The store handles several
// hundred writes a second for all its users, and 18 places at 2 deletes a
// second stay below a fifth of that. In the two-year target about 200 jobs end
// in a place each day, so that 16384 rows cover 80 days; they take less than 4
// MB.
func newOptions(opts []Option) Options {
	o := Options{PageSize: 64, DeletesPerSecond: 2, MaxTracked: 16384}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
