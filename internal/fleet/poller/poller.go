// Package poller keeps the contact with one worker: it looks at the worker
// while it has runs, renews its lease and sends it orders.
//
// # Usage
//
//	p := poller.New(fleet, clock, worker, token, sink, poller.WithLease(6*time.Second))
//	go p.Run(ctx)
//	p.SetBusy(true)
//	p.Start(ctx, start)
//	p.Acknowledge(17)
//
// The lease is a time on the worker's clock, which is estimated from its last
// answer. Each result says when the lease that was sent has surely ended by
// the clock of this host, even if the worker's clock is slow.
package poller

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
)

// Bounds of the contact with one worker.
const (
	// DefaultLease is how long a worker goes on without a renewal. It covers a
	// change of holder, which takes about 2 s.
	DefaultLease = 6 * time.Second
	// lookWait is how long a look waits for an end; the platform takes at most
	// 2 s.
	lookWait = 2 * time.Second
	// sharedWait is the same while tasks of different kinds share the worker:
	// the tail that they report covers half a second.
	sharedWait = 500 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait.
	answerTime = 900 * time.Millisecond
	// orderTime bounds a start or stop.
	orderTime = 800 * time.Millisecond
	// retryDelay is the wait after a look without an answer.
	retryDelay = 250 * time.Millisecond
	// notedWait bounds the wait for ends to be stored before the next look.
	notedWait = time.Second
	// clockRate is the slowest rate of a worker's clock.
	clockRate = 0.98
	// lapseMargin covers the time in which a worker kills what has lapsed.
	lapseMargin = 300 * time.Millisecond
	// parallelOrders bounds the orders in flight to one worker.
	parallelOrders = 3
)

// Sink takes what comes back from the worker.
type Sink interface {
	// OnReport takes the answer to a look.
	OnReport(worker primrosespar.Worker, report primrosespar.WorkerReport, asked, lapse time.Time)
	// OnPollError takes that a look was not answered.
	OnPollError(worker primrosespar.Worker, lapse time.Time, err error)
	// OnOrderResult takes the result of an order.
	OnOrderResult(worker primrosespar.Worker, run primrosespar.Run, start bool, lapse time.Time, err error)
	// OnThrottleResult takes the result of an order on pace.
	OnThrottleResult(worker primrosespar.Worker, run primrosespar.Run, percent int, err error)
}

// Options configure a Poller.
type Options struct {
	Lease time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithLease sets how long the worker goes on without a renewal.
func WithLease(lease time.Duration) Option { return func(o *Options) { o.Lease = lease } }

// Poller keeps the contact with one worker. It is safe for concurrent use.
type Poller struct {
	fleet  primrosespar.Fleet
	clock  primrosespar.Clock
	token  primrosespar.Token
	sink   Sink
	opts   Options
	worker primrosespar.Worker
	orders chan struct{}
	tasks  conc.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	member  primrosespar.WorkerInfo
	busy    bool
	shared  bool
	looked  bool
	suspect bool
	noted   uint64
	seen    uint64
	reading time.Duration
	readAt  time.Time
	lapse   time.Time
}

// New returns a Poller that has not looked yet.
func New(fleet primrosespar.Fleet, clock primrosespar.Clock, member primrosespar.WorkerInfo, token primrosespar.Token, sink Sink, opts ...Option) *Poller {
	a := &Poller{
		fleet: fleet, clock: clock, token: token, sink: sink, member: member, worker: member.Worker,
		orders: make(chan struct{}, parallelOrders), wake: make(chan struct{}, 1),
		opts: Options{Lease: DefaultLease},
	}
	for _, opt := range opts {
		opt(&a.opts)
	}
	return a
}

// Run looks at the worker until the context ends and then waits for the
// orders in flight.
func (a *Poller) Run(ctx context.Context) {
	defer a.tasks.Wait()
	for ctx.Err() == nil {
		if !a.needed() {
			select {
			case <-ctx.Done():
			case <-a.wake:
			}
			continue
		}
		a.look(ctx)
	}
}

// SetBusy says whether the worker has to be looked at.
func (a *Poller) SetBusy(busy bool) {
	a.mu.Lock()
	changed := busy != a.busy
	a.busy = busy
	a.mu.Unlock()
	if changed {
		a.poke()
	}
}

// SetShared says whether the worker has to be looked at often, because tasks
// that fill it may disturb others.
func (a *Poller) SetShared(shared bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shared = shared
}

// SetWorker takes a new announcement of the worker.
func (a *Poller) SetWorker(member primrosespar.WorkerInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member = member
}

// LeaseExpiry returns when the lease of the last order or look that has left has
// surely ended, whether or not it was answered.
func (a *Poller) LeaseExpiry() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lapse
}

// Acknowledge says that the ends up to the sequence are stored.
func (a *Poller) Acknowledge(sequence uint64) {
	a.mu.Lock()
	a.noted = max(a.noted, sequence)
	a.mu.Unlock()
	a.poke()
}

// Reset says that the worker started anew, so that it has to be looked at
// and its ends are counted from 1 again.
func (a *Poller) Reset() {
	a.mu.Lock()
	a.noted, a.seen, a.looked = 0, 0, false
	a.readAt = time.Time{}
	a.mu.Unlock()
	a.poke()
}

// poke lets the loop look at what has changed.
func (a *Poller) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// needed reports whether the worker has to be looked at.
func (a *Poller) needed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy || !a.looked || a.seen > a.noted
}

// look asks once and passes the answer on.
func (a *Poller) look(ctx context.Context) {
	asked := a.clock.Now()
	l := a.nextLook(asked)
	call, cancel := context.WithTimeout(ctx, l.Wait+answerTime)
	defer cancel()
	report, err := a.fleet.Poll(call, l)
	if err != nil {
		a.mu.Lock()
		a.suspect = true
		lapse := a.lapse
		a.mu.Unlock()
		a.sink.OnPollError(a.worker, lapse, err)
		a.sleep(ctx, retryDelay)
		return
	}
	lapse := a.answered(report)
	a.sink.OnReport(a.worker, report, asked, lapse)
	if len(report.Ended) > 0 {
		a.awaitNoted(ctx)
	}
}

// nextLook returns the look to send now.
func (a *Poller) nextLook(now time.Time) primrosespar.Poll {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := primrosespar.Poll{Worker: a.worker, Address: a.member.Address, Token: a.token, Acknowledged: a.noted}
	if a.suspect || !a.looked {
		// A worker that does not answer gets no longer lease, so that its runs
		// lapse; a quick answer is worth more than a wait for an end.
		return l
	}
	l.Wait = lookWait
	if a.shared {
		l.Wait = sharedWait
	}
	l.LeaseUntil = a.until(now)
	return l
}

// until returns the end of a lease that starts now and keeps the time at
// which it has surely ended here. The lock is held.
func (a *Poller) until(now time.Time) time.Duration {
	if a.readAt.IsZero() {
		return 0
	}
	end := a.reading + now.Sub(a.readAt) + a.opts.Lease
	left := time.Duration(float64(end-a.reading) / clockRate)
	if lapse := a.readAt.Add(left + lapseMargin); lapse.After(a.lapse) {
		a.lapse = lapse
	}
	return end
}

// answered takes the answer to a look and returns when the lease has ended.
func (a *Poller) answered(r primrosespar.WorkerReport) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspect, a.looked = false, true
	// The clock was read after the look was sent; with a wait it was read at
	// the end of it, so the time of the answer is the safe side.
	a.reading, a.readAt = r.Clock, a.clock.Now()
	for _, e := range r.Ended {
		a.seen = max(a.seen, e.Sequence)
	}
	return a.lapse
}

// awaitNoted waits until the ends that were listed are stored: a look before
// that would list them again.
func (a *Poller) awaitNoted(ctx context.Context) {
	deadline := a.clock.After(notedWait)
	for {
		a.mu.Lock()
		done := a.noted >= a.seen
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-a.wake:
		}
	}
}

// sleep waits unless the context ends.
func (a *Poller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.clock.After(d):
	}
}

// Start sends a start order; its result goes to the sink. Address, token and
// lease are filled in.
func (a *Poller) Start(ctx context.Context, start primrosespar.Start) {
	a.order(ctx, func(ctx context.Context, m primrosespar.WorkerInfo) (time.Time, error) {
		a.mu.Lock()
		until := a.until(a.clock.Now())
		lapse := a.lapse
		a.mu.Unlock()
		start.Worker, start.Address, start.Token, start.LeaseUntil = a.worker, m.Address, a.token, until
		return lapse, a.fleet.Start(ctx, start)
	}, start.Run, true)
}

// Stop sends a stop order; its result goes to the sink.
func (a *Poller) Stop(ctx context.Context, run primrosespar.Run) {
	a.order(ctx, func(ctx context.Context, m primrosespar.WorkerInfo) (time.Time, error) {
		return time.Time{}, a.fleet.Stop(ctx, primrosespar.Stop{Worker: a.worker, Address: m.Address, Token: a.token, Run: run})
	}, run, false)
}

// Throttle sets how fast a run works; its result goes to the sink.
func (a *Poller) Throttle(ctx context.Context, run primrosespar.Run, percent int) {
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		a.mu.Lock()
		member := a.member
		a.mu.Unlock()
		err := a.fleet.Throttle(ctx, primrosespar.Throttle{
			Worker: a.worker, Address: member.Address, Token: a.token, Run: run, Percent: percent,
		})
		a.sink.OnThrottleResult(a.worker, run, percent, err)
	})
}

// order sends one order on a goroutine of its own.
func (a *Poller) order(ctx context.Context, send func(context.Context, primrosespar.WorkerInfo) (time.Time, error), run primrosespar.Run, start bool) {
	a.tasks.Go(func() {
		select {
		case a.orders <- struct{}{}:
			defer func() { <-a.orders }()
		case <-ctx.Done():
			a.sink.OnOrderResult(a.worker, run, start, time.Time{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "not sent"))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		a.mu.Lock()
		member := a.member
		a.mu.Unlock()
		lapse, err := send(ctx, member)
		a.sink.OnOrderResult(a.worker, run, start, lapse, err)
	})
}
