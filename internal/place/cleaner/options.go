package cleaner

// Options are the bounds of a Cleaner.
type Options struct {
	// WithPageSize is the number of rows read at once.
	PageSize int
	// WithDeletesPerSecond is the number of deletes per second.
	DeletesPerSecond int
	// WithMaxTracked bounds the ended rows whose age is counted at once. Rows beyond
	// it are counted once older ones have been deleted.
	MaxTracked int
}

// Option sets one option.
type Option func(*Options)

// WithPageSize sets the number of rows read at once.
func WithPageSize(rows int) Option { return func(o *Options) { o.PageSize = rows } }

// WithDeletesPerSecond sets the number of deletes per second.
func WithDeletesPerSecond(perSecond int) Option {
	return func(o *Options) { o.DeletesPerSecond = perSecond }
}

// WithMaxTracked sets how many ended rows are counted at once.
func WithMaxTracked(rows int) Option { return func(o *Options) { o.MaxTracked = rows } }

// newOptions applies the options to the defaults. The store takes several
// hundred writes a second for everybody, so 18 places together stay below a
// fifth of that. A place ends about 200 jobs a day in the two-year target;
// 16384 rows are 80 days of them and take less than 4 MB.
func newOptions(opts []Option) Options {
	o := Options{PageSize: 64, DeletesPerSecond: 2, MaxTracked: 16384}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
