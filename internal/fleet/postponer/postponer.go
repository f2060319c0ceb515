// Package postponer decides what becomes of a call that cannot be served at the
// moment, because there is no holder of the fleet lease or the store does not
// answer: whether the host holds it until service resumes or refuses it, and
// when its caller is told to come back.
//
// # Usage
//
//	p := postponer.New()
//	d := p.Decide(postponer.Call{Remaining: 2*time.Second}, postponer.Outage{Age: age, Held: n})
//	// wait for at most d.Hold, else refuse with d.RetryAfter
//
// The load that it answers: all callers of an outage, each of whom has a few
// attempts and a few seconds for all of them together. Most outages are a
// change of holder and end within a second; a call is held through these, since
// a refused caller returns a second later at the earliest. In a longer outage a
// call is refused at once while its caller has time for another attempt, and
// held on the last one. What is held is bounded by number and by memory.
//
// Callers are told to come back after the time that the outage has lasted, since
// it is as likely to last as long again. The delays are spread, so that the
// callers of an outage don't return together: the more urgent the call, the
// earlier. A delay leaves the caller time for two further attempts.
package postponer

import "time"

// Figures of the decision.
const (
	// DefaultBriefOutage covers a change of holder.
	DefaultBriefOutage = 800 * time.Millisecond
	// DefaultLastAttempt is the remaining time of a caller who cannot wait for
	// MinRetryAfter and be served then.
	DefaultLastAttempt = 1200 * time.Millisecond
	// MinRetryAfter is the least delay; callers read it in whole seconds.
	MinRetryAfter = time.Second
	// furtherAttempts is how many attempts the caller's time has to allow after
	// the delay.
	furtherAttempts = 2
	// DefaultMaxHeld and DefaultMaxHeldBytes bound the calls that are held.
	DefaultMaxHeld      = 256
	DefaultMaxHeldBytes = 4 << 20
)

// Call is a call that cannot be served at the moment.
type Call struct {
	// Remaining is how long the caller still waits for all its attempts.
	Remaining time.Duration
	// Bytes is the memory that the call uses while it is held.
	Bytes int64
	// Priority is that of its queue; 0 is the most urgent.
	Priority int
	// Spread distributes the callers of a priority, from 0 to 1. It has to be
	// the same for each attempt of a caller.
	Spread float64
}

// Outage is the state of a host that cannot serve calls.
type Outage struct {
	// Age is for how long no call was served.
	Age time.Duration
	// Held and HeldBytes are the calls that the host holds.
	Held      int
	HeldBytes int64
}

// Decision is the decision on one call. If Hold is 0, or service has not resumed
// after it, the call is refused.
type Decision struct {
	Hold       time.Duration
	RetryAfter time.Duration
}

// Options configure a Postponer.
type Options struct {
	BriefOutage  time.Duration
	LastAttempt  time.Duration
	MaxHeld      int
	MaxHeldBytes int64
}

// Option sets one option.
type Option func(*Options)

// WithHolding sets through which outages calls are held, and with how much
// remaining time the last attempt is held.
func WithHolding(briefOutage, lastAttempt time.Duration) Option {
	return func(o *Options) { o.BriefOutage, o.LastAttempt = briefOutage, lastAttempt }
}

// WithLimits bounds the calls that are held.
func WithLimits(maxHeld int, maxHeldBytes int64) Option {
	return func(o *Options) { o.MaxHeld, o.MaxHeldBytes = maxHeld, maxHeldBytes }
}

// Postponer decides on calls. It is safe for concurrent use.
type Postponer struct{ opts Options }

// New returns a Postponer.
func New(opts ...Option) *Postponer {
	o := Options{
		BriefOutage: DefaultBriefOutage, LastAttempt: DefaultLastAttempt,
		MaxHeld: DefaultMaxHeld, MaxHeldBytes: DefaultMaxHeldBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Postponer{opts: o}
}

// Decide decides on a call.
func (p *Postponer) Decide(call Call, outage Outage) Decision {
	d := Decision{RetryAfter: retryAfter(call, outage)}
	if !p.HasRoom(call, outage) {
		return d
	}
	d.Hold = max(0, p.opts.BriefOutage-outage.Age)
	if call.Remaining <= p.opts.LastAttempt {
		d.Hold = call.Remaining
	}
	d.Hold = max(0, min(d.Hold, call.Remaining))
	return d
}

// HasRoom reports whether the call may be held beside those that are held.
func (p *Postponer) HasRoom(call Call, outage Outage) bool {
	return outage.Held < p.opts.MaxHeld && outage.HeldBytes+call.Bytes <= p.opts.MaxHeldBytes
}

// retryAfter returns when the caller has to come back: after half of the
// outage's age or more, the urgent ones first, but soon enough for further
// attempts.
func retryAfter(call Call, outage Outage) time.Duration {
	rank := float64(max(0, call.Priority)) + min(max(call.Spread, 0), 1)
	share := 1 - 1/(2+rank)
	longest := call.Remaining / (furtherAttempts + 1)
	return max(MinRetryAfter, min(time.Duration(share*float64(outage.Age)), longest))
}
