package cleaner

// Options are the bounds of a Cleaner.
type Options struct {
	// WithPage is the number of rows read at once.
	Page int
	// WithWrites is the number of deletes per second.
	Writes int
	// WithTracked bounds the ended rows whose age is counted at once. Rows beyond
	// it are counted once older ones have been deleted.
	Tracked int
}

// Option sets one option.
type Option func(*Options)

// WithPage sets the number of rows read at once.
func WithPage(rows int) Option { return func(o *Options) { o.Page = rows } }

// WithWrites sets the number of deletes per second.
func WithWrites(perSecond int) Option { return func(o *Options) { o.Writes = perSecond } }

// WithTracked sets how many ended rows are counted at once.
func WithTracked(rows int) Option { return func(o *Options) { o.Tracked = rows } }

// newOptions applies the options to the defaults. The store takes several
// hundred writes a second for everybody, so 18 places together stay below a
// fifth of that. A place ends about 200 jobs a day in the two-year target;
// 16384 rows are 80 days of them and take less than 4 MB.
func newOptions(opts []Option) Options {
	o := Options{Page: 64, Writes: 2, Tracked: 16384}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
