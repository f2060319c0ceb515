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
	// Ratio is the retries earned by one successful request.
	Ratio float64
	// FloorPerSecond is the retries per second earned without any success.
	FloorPerSecond float64
	// Cap bounds what an account can save up, so that an hour of successes
	// does not pay for a burst of retries in an outage.
	Cap float64
	// PauseFirst and PauseLast bound the backoff before jitter.
	PauseFirst time.Duration
	PauseLast  time.Duration
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
func WithBudget(ratio, floor, limit float64) Option {
	return func(o *Options) { o.Ratio, o.FloorPerSecond, o.Cap = ratio, floor, limit }
}

// Retrier holds the retry budgets. It is safe for concurrent use.
type Retrier struct {
	opts Options

	mu      sync.Mutex
	budgets map[primrosespar.Account]*budget
}

// budget is what one account may still retry.
type budget struct {
	retries float64
	at      time.Time
}

// New returns a Retrier.
func New(opts ...Option) *Retrier {
	o := Options{
		Ratio: 0.1, FloorPerSecond: 0.5, Cap: 10,
		PauseFirst: 10 * time.Millisecond, PauseLast: 500 * time.Millisecond, MaxRetries: 3,
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
	b.retries = min(r.opts.Cap, b.retries+r.opts.Ratio)
}

// Next decides on a retry of the call after the answer. It returns CodeOK and
// the pause before the retry, CodeRetryBudget if the account's budget is used
// up, or the answer's own code if a retry is not allowed or would be late.
func (r *Retrier) Next(call primrosespar.Call, idempotent bool, answer primrosespar.Answer) (time.Duration, primrosespar.Code) {
	if !Retryable(idempotent, answer) || call.Retry >= r.opts.MaxRetries {
		return 0, answer.Code
	}
	pause := r.pause(call.Retry)
	if call.Deadline.Sub(r.opts.Clock.Now()) <= pause {
		return 0, answer.Code
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(call.Account)
	if b.retries < 1 {
		return 0, primrosespar.CodeRetryBudget
	}
	b.retries--
	return pause, primrosespar.CodeOK
}

// pause is the backoff with full jitter before the retry.
func (r *Retrier) pause(retry int) time.Duration {
	bound := r.opts.PauseFirst
	for range retry {
		bound = min(2*bound, r.opts.PauseLast)
	}
	return time.Duration(r.opts.Random() * float64(bound))
}

// refill returns the account's budget with the floor earned until now.
func (r *Retrier) refill(account primrosespar.Account) *budget {
	now := r.opts.Clock.Now()
	b, ok := r.budgets[account]
	if !ok {
		b = &budget{retries: 1, at: now}
		r.budgets[account] = b
	}
	earned := now.Sub(b.at).Seconds() * r.opts.FloorPerSecond
	b.retries = min(r.opts.Cap, b.retries+max(0, earned))
	b.at = now
	return b
}
