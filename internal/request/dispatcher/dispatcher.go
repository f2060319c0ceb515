// Package dispatcher admits calls and gives each an upstream with a free slot
// of this host. It joins admitter, balancer, divider and watcher under one
// lock and starts no goroutine: the caller that frees a slot hands it to the
// next waiting call.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.WithHost(host, place, incarnation, address),
//		dispatcher.WithClock(clock), dispatcher.WithContracts(follower))
//	d.SetDirectory(directory) // after each poll of the platform's list
//	d.Tick()                  // at least once a second
//	grant, err := d.Acquire(ctx, call)
//	defer grant.Release(outcome)
//
// Heartbeats go out with Heartbeat and come back through HandleHeartbeatReply; HandleHeartbeat serves
// those of peers. Errors are *primrosespar.Failure; such a call did not run.
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

// slotSyncInterval bounds how late the end of a loan is noticed between two ticks.
// It is below the margin that a lender adds to the term of a loan.
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
	nextSlotSync    time.Time
}

// The compiler checks the interface.
var _ primrosespar.Dispatcher = (*Dispatcher)(nil)

// waiter is one call that waits for a slot.
type waiter struct {
	call primrosespar.Call
	// result takes exactly one result while the lock is held.
	result chan result
}

// result is how the wait of a call ended.
type result struct {
	grant *grant
	err   error
}

// New returns a Dispatcher without upstreams.
func New(opts ...Option) *Dispatcher {
	var o Options
	for _, opt := range opts {
		opt(&o)
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
		return nil, primrosespar.Fail(primrosespar.CodeDeadlinePassed, "call %s", call.ID)
	}
	t, w, err := d.enqueue(call, now)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-w.result:
		// The usual case needs no timer.
		return r.grantOrError()
	default:
	}
	select {
	case r := <-w.result:
		return r.grantOrError()
	case <-ctx.Done():
		return nil, d.abandon(t, w, contextFailure(ctx.Err()))
	case <-d.opts.Clock.After(call.Deadline.Sub(now)):
		return nil, d.abandon(t, w, primrosespar.Fail(primrosespar.CodeDeadlinePassed, "call %s waited for a slot", call.ID))
	}
}

// grantOrError avoids a non-nil interface around a nil grant.
func (r result) grantOrError() (primrosespar.Grant, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.grant, nil
}

// contextFailure returns the failure for a call whose context ended.
func contextFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the context ended").WithCause(err)
	}
	return primrosespar.Fail(primrosespar.CodeCallerGone, "the context ended").WithCause(err)
}

// enqueue offers the call and starts what can start.
func (d *Dispatcher) enqueue(call primrosespar.Call, now time.Time) (*admitter.Ticket, *waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, nil, primrosespar.Fail(primrosespar.CodeDraining, "host %s", d.opts.Host)
	}
	if !d.contractsLoaded {
		d.updateContracts(now)
	}
	if !d.contractsLoaded {
		return nil, nil, primrosespar.Fail(primrosespar.CodeStarting, "host %s has not read the contracts yet", d.opts.Host)
	}
	if len(d.upstreams) == 0 {
		return nil, nil, primrosespar.Fail(primrosespar.CodeNoUpstream, "place %s", d.opts.Place)
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

// abandon ends the wait of a call. If its slot arrived at the same time, the
// slot is given back.
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
	if !now.Before(d.nextSlotSync) {
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
		// Free has just reported an open upstream, so Pick finds one.
		target, _ := d.balancer.Pick(w.call.Exclude, now)
		w.result <- result{grant: &grant{dispatcher: d, ticket: t, target: target}}
	}
}

// refuseShed tells shed calls why they were refused.
func (d *Dispatcher) refuseShed(shed []admitter.Shed) {
	for _, s := range shed {
		if w := d.waiters[s.Ticket]; w != nil {
			delete(d.waiters, s.Ticket)
			w.result <- result{err: primrosespar.Fail(s.Code, "call %s waited in its queue", w.call.ID)}
		}
	}
}

// grant is one slot of an upstream in use.
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
		// The call was abandoned here and says nothing about the upstream.
		outcome.Code = primrosespar.CodeCallerGone
	}
	d.admitter.Release(g.ticket, outcome.Latency, served, now)
	d.balancer.Done(g.target.Upstream, outcome, now)
	d.startWaiting(now)
}
