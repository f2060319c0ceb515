// Package retrier decides whether and when a failed attempt is made again.
//
// Each client account has a retry budget: by default each successful request
// earns a tenth of a retry, and a small number of retries is earned per second,
// so that an account with few requests can retry too. Without a budget, retries
// would multiply the load on a failing upstream.
//
// # Usage
//
//	r.Succeeded(call.Account)
//	backoff, code := r.Next(call, terms.Idempotent, answer)
//	if code == primrosespar.CodeOK {
//		// wait for the backoff and try again
//	}
package retrier

import (
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Options are the dependencies and limits of a Retrier.
type Options struct {
	Clock primrosespar.Clock
	// Random returns a number in [0, 1).
	Random func() float64
	// RetriesPerSuccess is the number of retries earned by a successful
	// request.
	RetriesPerSuccess float64
	// RetriesPerSecond is the number of retries earned per second, regardless
	// of successful requests.
	RetriesPerSecond float64
	// MaxBudget is the most retries that an account can accumulate. Without it,
	// an hour of successful requests would allow a burst of retries in an
	// outage.
	MaxBudget float64
	// InitialBackoff and MaxBackoff are the first and the largest backoff
	// before jitter.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxRetries is the maximum number of retries of one call.
	MaxRetries int
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithRandom sets the function that returns random numbers in [0, 1) for
// jitter.
func WithRandom(random func() float64) Option {
	return func(o *Options) { o.Random = random }
}

// WithBudget sets the retries earned per successful request and per second, and
// the maximum budget.
func WithBudget(perSuccess, perSecond, maxBudget float64) Option {
	return func(o *Options) {
		o.RetriesPerSuccess, o.RetriesPerSecond, o.MaxBudget = perSuccess, perSecond, maxBudget
	}
}

// Retrier holds the retry budgets of all accounts. It is safe for concurrent
// use.
type Retrier struct {
	opts Options

	mu      sync.Mutex
	budgets map[primrosespar.Account]*budget
}

// budget is the number of retries that one account has left.
type budget struct {
	retries   float64
	updatedAt time.Time
}

// New returns a Retrier.
func New(opts ...Option) *Retrier {
	o := Options{
		RetriesPerSuccess: 0.1, RetriesPerSecond: 0.5, MaxBudget: 10,
		InitialBackoff: 10 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MaxRetries: 3,
	}
	for _, set := range opts {
		set(&o)
	}
	return &Retrier{opts: o, budgets: map[primrosespar.Account]*budget{}}
}

// Retryable reports whether an attempt with this answer may be repeated. That
// is so if the call is idempotent or certainly did not run, and the failure may
// not occur at another upstream.
func Retryable(idempotent bool, answer primrosespar.Answer) bool {
	switch answer.Code {
	case primrosespar.CodeUpstreamBusy, primrosespar.CodeNoUpstream:
		return idempotent || answer.Ran == primrosespar.RanNot
	case primrosespar.CodeOutcomeUnknown, primrosespar.CodeAnswerTruncated, primrosespar.CodeUpstreamError:
		return idempotent
	default:
		return false
	}
}

// Succeeded adds the retries earned by one successful request to the budget of
// the account.
func (r *Retrier) Succeeded(account primrosespar.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(account)
	b.retries = min(r.opts.MaxBudget, b.retries+r.opts.RetriesPerSuccess)
}

// Next decides whether to retry the call after the answer. It returns CodeOK
// and the backoff before the retry, CodeRetryBudget if the budget of the
// account is exhausted, or the code of the answer if a retry is not allowed or
// would miss the deadline.
func (r *Retrier) Next(call primrosespar.Call, idempotent bool, answer primrosespar.Answer) (time.Duration, primrosespar.Code) {
	if !Retryable(idempotent, answer) || call.Retry >= r.opts.MaxRetries {
		return 0, answer.Code
	}
	backoff := r.backoff(call.Retry)
	if call.Deadline.Sub(r.opts.Clock.Now()) <= backoff {
		return 0, answer.Code
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(call.Account)
	if b.retries < 1 {
		return 0, primrosespar.CodeRetryBudget
	}
	b.retries--
	return backoff, primrosespar.CodeOK
}

// backoff returns the exponential backoff with full jitter before the retry.
// The first retry has number 0.
func (r *Retrier) backoff(retry int) time.Duration {
	maxBackoff := r.opts.InitialBackoff
	for range retry {
		maxBackoff = min(2*maxBackoff, r.opts.MaxBackoff)
	}
	return time.Duration(r.opts.Random() * float64(maxBackoff))
}

// refill adds the retries earned per second until now to the budget of the
// account and returns it. A new budget starts with one retry.
func (r *Retrier) refill(account primrosespar.Account) *budget {
	now := r.opts.Clock.Now()
	b, ok := r.budgets[account]
	if !ok {
		b = &budget{retries: 1, updatedAt: now}
		r.budgets[account] = b
	}
	earned := now.Sub(b.updatedAt).Seconds() * r.opts.RetriesPerSecond
	b.retries = min(r.opts.MaxBudget, b.retries+max(0, earned))
	b.updatedAt = now
	return b
}
