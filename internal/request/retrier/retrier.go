// Package retrier decides whether and when a failed attempt is made again.
//
// Retries are bounded per client account by a budget: each successful request
// earns a tenth of a retry, and a small floor per second lets a quiet account
// retry at all. Without a budget the retries of a failing upstream multiply
// its load.
//
// # Usage
//
//	r.Succeeded(call.Account)
//	pause, code := r.Next(call, terms.Idempotent, answer)
//	if code == primrosespar.CodeOK {
//		// wait for pause and try again
//	}
package retrier

import (
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Options are the parts and bounds of a Retrier.
type Options struct {
	Clock primrosespar.Clock
	// Random returns a number in [0, 1).
	Random func() float64
	// RetriesPerSuccess is the retries earned by one successful request.
	RetriesPerSuccess float64
	// RetriesPerSecond is the retries per second earned without any success.
	RetriesPerSecond float64
	// MaxBudget bounds what an account can save up, so that an hour of successes
	// does not pay for a burst of retries in an outage.
	MaxBudget float64
	// MinBackoff and PauseLast bound the backoff before jitter.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxRetries bounds the retries of one call.
	MaxRetries int
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithRandom sets the source of jitter, a number in [0, 1).
func WithRandom(random func() float64) Option {
	return func(o *Options) { o.Random = random }
}

// WithBudget sets the share of successes, the floor per second and the cap.
func WithBudget(perSuccess, perSecond, maxBudget float64) Option {
	return func(o *Options) {
		o.RetriesPerSuccess, o.RetriesPerSecond, o.MaxBudget = perSuccess, perSecond, maxBudget
	}
}

// Retrier holds the retry budgets. It is safe for concurrent use.
type Retrier struct {
	opts Options

	mu      sync.Mutex
	budgets map[primrosespar.Account]*budget
}

// budget is what one account may still retry.
type budget struct {
	retries   float64
	updatedAt time.Time
}

// New returns a Retrier.
func New(opts ...Option) *Retrier {
	o := Options{
		RetriesPerSuccess: 0.1, RetriesPerSecond: 0.5, MaxBudget: 10,
		MinBackoff: 10 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MaxRetries: 3,
	}
	for _, set := range opts {
		set(&o)
	}
	return &Retrier{opts: o, budgets: map[primrosespar.Account]*budget{}}
}

// Retryable reports whether an attempt that ended so may be made again: the
// call is idempotent or provably did not run, and another upstream may do
// better.
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

// Succeeded credits the account with one successful request.
func (r *Retrier) Succeeded(account primrosespar.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(account)
	b.retries = min(r.opts.MaxBudget, b.retries+r.opts.RetriesPerSuccess)
}

// Next decides on a retry of the call after the answer. It returns CodeOK and
// the pause before the retry, CodeRetryBudget if the account's budget is used
// up, or the answer's own code if a retry is not allowed or would be late.
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

// backoff is the backoff with full jitter before the retry.
func (r *Retrier) backoff(retry int) time.Duration {
	maxBackoff := r.opts.MinBackoff
	for range retry {
		maxBackoff = min(2*maxBackoff, r.opts.MaxBackoff)
	}
	return time.Duration(r.opts.Random() * float64(maxBackoff))
}

// refill returns the account's budget with the floor earned until now.
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
