// Package dispatcher admits calls and assigns each to an upstream at which this
// host has a free slot. It combines admitter, balancer, divider and watcher
// under one lock. It starts no goroutine: the caller that releases a slot
// passes it to the next waiting call.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.WithHost(host, place, incarnation, address),
//		dispatcher.WithClock(clock), dispatcher.WithContracts(follower))
//	d.SetDirectory(directory) // after each poll of the platform's directory
//	d.Tick()                  // at least once a second
//	grant, err := d.Acquire(ctx, call)
//	defer grant.Release(outcome)
//
// Heartbeat returns the heartbeat to send to a peer, and HandleHeartbeatReply
// processes the reply. HandleHeartbeat processes the heartbeat of a peer.
// Errors are *primrosespar.Failure; a call that is refused with one did not
// run.
package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/divider"
	"primrosespar.example/primrosespar/internal/member/watcher"
	"primrosespar.example/primrosespar/internal/request/admitter"
	"primrosespar.example/primrosespar/internal/request/balancer"
)

// slotSyncInterval bounds the delay until the end of a slot loan takes effect
// between two ticks. It is below the margin that a lender adds to the term of a
// loan.
const slotSyncInterval = 100 * time.Millisecond

// Dispatcher implements primrosespar.Dispatcher for one host. It is safe for
// concurrent use.
type Dispatcher struct {
	opts Options

	mu              sync.Mutex
	admitter        *admitter.Admitter
	balancer        *balancer.Balancer
	divider         *divider.Divider
	watcher         *watcher.Watcher
	upstreams       []primrosespar.UpstreamEntry
	waiters         map[*admitter.Ticket]*waiter
	revision        primrosespar.Revision
	contractsLoaded bool
	draining        bool
	// nextSlotSync is a reading of the member clock.
	nextSlotSync time.Time
}

var _ primrosespar.Dispatcher = (*Dispatcher)(nil)

// waiter is a call that waits for a slot.
type waiter struct {
	call primrosespar.Call
	// result is buffered and receives exactly one value, sent under the lock.
	result chan result
}

// result ends the wait of a call with a grant or an error.
type result struct {
	grant *grant
	err   error
}

// New returns a Dispatcher without upstreams. It refuses calls until it has
// upstreams and contracts.
func New(opts ...Option) *Dispatcher {
	var o Options
	for _, opt := range opts {
		opt(&o)
	}
	if o.MemberClock == nil {
		o.MemberClock = o.Clock
	}
	var balancerOpts []balancer.Option
	if o.Random != nil {
		balancerOpts = append(balancerOpts, balancer.WithRandom(o.Random))
	}
	return &Dispatcher{
		opts:     o,
		admitter: admitter.New(o.Place),
		balancer: balancer.New(balancerOpts...),
		divider:  divider.New(o.Host),
		watcher:  watcher.New(o.Host, o.Place),
		waiters:  map[*admitter.Ticket]*waiter{},
	}
}

// Acquire implements primrosespar.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, call primrosespar.Call) (primrosespar.Grant, error) {
	now := d.opts.Clock.Now()
	if err := ctx.Err(); err != nil {
		return nil, contextFailure(err)
	}
	if !call.Deadline.After(now) {
		return nil, primrosespar.Fail(primrosespar.CodeDeadlinePassed, "call %s arrived after its deadline", call.ID)
	}
	t, w, err := d.enqueue(call, now)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-w.result:
		// The usual case: a slot was free, so no timer is needed.
		return r.grantOrError()
	default:
	}
	select {
	case r := <-w.result:
		return r.grantOrError()
	case <-ctx.Done():
		return nil, d.abandon(t, w, contextFailure(ctx.Err()))
	case <-d.opts.Clock.After(call.Deadline.Sub(now)):
		return nil, d.abandon(t, w, primrosespar.Fail(primrosespar.CodeDeadlinePassed, "no slot became free in time for call %s", call.ID))
	}
}

// grantOrError returns the result for the caller. It returns an untyped nil in
// place of a nil *grant, which would make a non-nil interface.
func (r result) grantOrError() (primrosespar.Grant, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.grant, nil
}

// contextFailure returns the failure for a call whose context ended.
func contextFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before a slot was acquired").WithCause(err)
	}
	return primrosespar.Fail(primrosespar.CodeCallerGone, "the caller disconnected before a slot was acquired").WithCause(err)
}

// enqueue offers the call to the admitter and starts the calls that can start.
func (d *Dispatcher) enqueue(call primrosespar.Call, now time.Time) (*admitter.Ticket, *waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, nil, primrosespar.Fail(primrosespar.CodeDraining, "host %s is draining", d.opts.Host)
	}
	if !d.contractsLoaded {
		d.updateContracts(now)
	}
	if !d.contractsLoaded {
		return nil, nil, primrosespar.Fail(primrosespar.CodeStarting, "host %s has not read the contracts yet", d.opts.Host)
	}
	if len(d.upstreams) == 0 {
		return nil, nil, primrosespar.Fail(primrosespar.CodeNoUpstream, "no upstream is listed in place %s", d.opts.Place)
	}
	d.admitter.SetCurrent(d.opts.Contracts.Current(), now)
	minted := call.Key != "" && d.opts.Minted != nil && d.opts.Minted(call.Key)
	t, shed, err := d.admitter.Offer(admitter.Request{Account: call.Account, Class: call.Class, Deadline: call.Deadline, Minted: minted}, now)
	d.refuseShed(shed)
	if err != nil {
		return nil, nil, err
	}
	w := &waiter{call: call, result: make(chan result, 1)}
	d.waiters[t] = w
	d.startWaiting(now)
	return t, w, nil
}

// abandon ends the wait of a call and returns cause. If the call was granted a
// slot at the same time, abandon releases it.
func (d *Dispatcher) abandon(t *admitter.Ticket, w *waiter, cause error) error {
	d.mu.Lock()
	if d.admitter.Cancel(t) {
		delete(d.waiters, t)
		d.mu.Unlock()
		return cause
	}
	d.mu.Unlock()
	r := <-w.result
	if r.err != nil {
		return r.err
	}
	r.grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOf(cause)})
	return cause
}

// startWaiting starts waiting calls while slots are free.
func (d *Dispatcher) startWaiting(now time.Time) {
	if !d.opts.MemberClock.Now().Before(d.nextSlotSync) {
		d.syncSlots(now)
	}
	for d.admitter.Ready() && d.balancer.Free(now) {
		t, shed := d.admitter.Next(now)
		d.refuseShed(shed)
		if t == nil {
			return
		}
		w := d.waiters[t]
		delete(d.waiters, t)
		// Free has reported an available upstream, so Pick finds one.
		target, _ := d.balancer.Pick(w.call.Exclude, now)
		w.result <- result{grant: &grant{dispatcher: d, ticket: t, target: target}}
	}
}

// refuseShed ends the wait of shed calls with the reason for the refusal.
func (d *Dispatcher) refuseShed(shed []admitter.Shed) {
	for _, s := range shed {
		if w := d.waiters[s.Ticket]; w != nil {
			delete(d.waiters, s.Ticket)
			w.result <- result{err: primrosespar.Fail(s.Code, "call %s was removed from its queue", w.call.ID)}
		}
	}
}

// grant is one slot of an upstream that a call uses.
type grant struct {
	dispatcher *Dispatcher
	ticket     *admitter.Ticket
	target     primrosespar.UpstreamEntry
	released   bool
}

// Target implements primrosespar.Grant.
func (g *grant) Target() primrosespar.UpstreamEntry { return g.target }

// Release implements primrosespar.Grant. A second call has no effect.
func (g *grant) Release(outcome primrosespar.AttemptOutcome) {
	d := g.dispatcher
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	served := outcome.Code == primrosespar.CodeOK
	if outcome.Code == primrosespar.CodeDeadlinePassed && !outcome.Sent {
		// The call ended before it was sent, which says nothing about the
		// upstream.
		outcome.Code = primrosespar.CodeCallerGone
	}
	d.admitter.Release(g.ticket, outcome.Latency, served, now)
	d.balancer.Done(g.target.Upstream, outcome, now)
	d.startWaiting(now)
}
