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
	// pollWait is how long a look waits for an end; the platform takes at most
	// 2 s.
	pollWait = 2 * time.Second
	// sharedPollWait is the same while tasks of different kinds share the worker:
	// the tail that they report covers half a second.
	sharedPollWait = 500 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the wait.
	answerTimeout = 900 * time.Millisecond
	// orderTimeout bounds a start or stop.
	orderTimeout = 800 * time.Millisecond
	// retryDelay is the wait after a look without an answer.
	retryDelay = 250 * time.Millisecond
	// acknowledgeTimeout bounds the wait for ends to be stored before the next look.
	acknowledgeTimeout = time.Second
	// minClockRate is the slowest rate of a worker's clock.
	minClockRate = 0.98
	// expiryMargin covers the time in which a worker kills what has lapsed.
	expiryMargin = 300 * time.Millisecond
	// maxOrdersInFlight bounds the orders in flight to one worker.
	maxOrdersInFlight = 3
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
	fleet      primrosespar.Fleet
	clock      primrosespar.Clock
	token      primrosespar.Token
	sink       Sink
	opts       Options
	worker     primrosespar.Worker
	orderSlots chan struct{}
	tasks      conc.WaitGroup
	wake       chan struct{}

	mu            sync.Mutex
	info          primrosespar.WorkerInfo
	busy          bool
	shared        bool
	polled        bool
	unresponsive  bool
	acknowledged  uint64
	lastSequence  uint64
	workerClock   time.Duration
	workerClockAt time.Time
	leaseExpiry   time.Time
}

// New returns a Poller that has not looked yet.
func New(fleet primrosespar.Fleet, clock primrosespar.Clock, info primrosespar.WorkerInfo, token primrosespar.Token, sink Sink, opts ...Option) *Poller {
	p := &Poller{
		fleet: fleet, clock: clock, token: token, sink: sink, info: info, worker: info.Worker,
		orderSlots: make(chan struct{}, maxOrdersInFlight), wake: make(chan struct{}, 1),
		opts: Options{Lease: DefaultLease},
	}
	for _, opt := range opts {
		opt(&p.opts)
	}
	return p
}

// Run looks at the worker until the context ends and then waits for the
// orderSlots in flight.
func (p *Poller) Run(ctx context.Context) {
	defer p.tasks.Wait()
	for ctx.Err() == nil {
		if !p.needsPoll() {
			select {
			case <-ctx.Done():
			case <-p.wake:
			}
			continue
		}
		p.poll(ctx)
	}
}

// SetBusy says whether the worker has to be looked at.
func (p *Poller) SetBusy(busy bool) {
	p.mu.Lock()
	changed := busy != p.busy
	p.busy = busy
	p.mu.Unlock()
	if changed {
		p.notify()
	}
}

// SetShared says whether the worker has to be looked at often, because tasks
// that fill it may disturb others.
func (p *Poller) SetShared(shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = shared
}

// SetWorker takes a new announcement of the worker.
func (p *Poller) SetWorker(info primrosespar.WorkerInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.info = info
}

// LeaseExpiry returns when the lease of the last order or look that has left has
// surely ended, whether or not it was answered.
func (p *Poller) LeaseExpiry() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseExpiry
}

// Acknowledge says that the ends up to the sequence are stored.
func (p *Poller) Acknowledge(sequence uint64) {
	p.mu.Lock()
	p.acknowledged = max(p.acknowledged, sequence)
	p.mu.Unlock()
	p.notify()
}

// Reset says that the worker started anew, so that it has to be looked at
// and its ends are counted from 1 again.
func (p *Poller) Reset() {
	p.mu.Lock()
	p.acknowledged, p.lastSequence, p.polled = 0, 0, false
	p.workerClockAt = time.Time{}
	p.mu.Unlock()
	p.notify()
}

// notify lets the loop look at what has changed.
func (p *Poller) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// needsPoll reports whether the worker has to be looked at.
func (p *Poller) needsPoll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy || !p.polled || p.lastSequence > p.acknowledged
}

// poll asks once and passes the answer on.
func (p *Poller) poll(ctx context.Context) {
	requestedAt := p.clock.Now()
	request := p.nextPoll(requestedAt)
	pollCtx, cancel := context.WithTimeout(ctx, request.Wait+answerTimeout)
	defer cancel()
	report, err := p.fleet.Poll(pollCtx, request)
	if err != nil {
		p.mu.Lock()
		p.unresponsive = true
		leaseExpiry := p.leaseExpiry
		p.mu.Unlock()
		p.sink.OnPollError(p.worker, leaseExpiry, err)
		p.sleep(ctx, retryDelay)
		return
	}
	leaseExpiry := p.handleReport(report)
	p.sink.OnReport(p.worker, report, requestedAt, leaseExpiry)
	if len(report.Ended) > 0 {
		p.awaitAcknowledgement(ctx)
	}
}

// nextPoll returns the look to send now.
func (p *Poller) nextPoll(now time.Time) primrosespar.Poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := primrosespar.Poll{Worker: p.worker, Address: p.info.Address, Token: p.token, Acknowledged: p.acknowledged}
	if p.unresponsive || !p.polled {
		// A worker that does not answer gets no longer lease, so that its runs
		// lapse; a quick answer is worth more than a wait for an end.
		return request
	}
	request.Wait = pollWait
	if p.shared {
		request.Wait = sharedPollWait
	}
	request.LeaseUntil = p.extendLease(now)
	return request
}

// extendLease returns the end of a lease that starts now and keeps the time at
// which it has surely ended here. The lock is held.
func (p *Poller) extendLease(now time.Time) time.Duration {
	if p.workerClockAt.IsZero() {
		return 0
	}
	end := p.workerClock + now.Sub(p.workerClockAt) + p.opts.Lease
	remaining := time.Duration(float64(end-p.workerClock) / minClockRate)
	if leaseExpiry := p.workerClockAt.Add(remaining + expiryMargin); leaseExpiry.After(p.leaseExpiry) {
		p.leaseExpiry = leaseExpiry
	}
	return end
}

// handleReport takes the answer to a look and returns when the lease has ended.
func (p *Poller) handleReport(report primrosespar.WorkerReport) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive, p.polled = false, true
	// The clock was read after the look was sent; with a wait it was read at
	// the end of it, so the time of the answer is the safe side.
	p.workerClock, p.workerClockAt = report.Clock, p.clock.Now()
	for _, e := range report.Ended {
		p.lastSequence = max(p.lastSequence, e.Sequence)
	}
	return p.leaseExpiry
}

// awaitAcknowledgement waits until the ends that were listed are stored: a look before
// that would list them again.
func (p *Poller) awaitAcknowledgement(ctx context.Context) {
	deadline := p.clock.After(acknowledgeTimeout)
	for {
		p.mu.Lock()
		acknowledged := p.acknowledged >= p.lastSequence
		p.mu.Unlock()
		if acknowledged {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-p.wake:
		}
	}
}

// sleep waits unless the context ends.
func (p *Poller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}

// Start sends a start order; its result goes to the sink. Address, token and
// lease are filled in.
func (p *Poller) Start(ctx context.Context, start primrosespar.Start) {
	p.sendOrder(ctx, func(ctx context.Context, info primrosespar.WorkerInfo) (time.Time, error) {
		p.mu.Lock()
		leaseUntil := p.extendLease(p.clock.Now())
		leaseExpiry := p.leaseExpiry
		p.mu.Unlock()
		start.Worker, start.Address, start.Token, start.LeaseUntil = p.worker, info.Address, p.token, leaseUntil
		return leaseExpiry, p.fleet.Start(ctx, start)
	}, start.Run, true)
}

// Stop sends a stop order; its result goes to the sink.
func (p *Poller) Stop(ctx context.Context, run primrosespar.Run) {
	p.sendOrder(ctx, func(ctx context.Context, info primrosespar.WorkerInfo) (time.Time, error) {
		return time.Time{}, p.fleet.Stop(ctx, primrosespar.Stop{Worker: p.worker, Address: info.Address, Token: p.token, Run: run})
	}, run, false)
}

// Throttle sets how fast a run works; its result goes to the sink.
func (p *Poller) Throttle(ctx context.Context, run primrosespar.Run, percent int) {
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		p.mu.Lock()
		info := p.info
		p.mu.Unlock()
		err := p.fleet.Throttle(ctx, primrosespar.Throttle{
			Worker: p.worker, Address: info.Address, Token: p.token, Run: run, Percent: percent,
		})
		p.sink.OnThrottleResult(p.worker, run, percent, err)
	})
}

// sendOrder sends one order on a goroutine of its own.
func (p *Poller) sendOrder(ctx context.Context, send func(context.Context, primrosespar.WorkerInfo) (time.Time, error), run primrosespar.Run, start bool) {
	p.tasks.Go(func() {
		select {
		case p.orderSlots <- struct{}{}:
			defer func() { <-p.orderSlots }()
		case <-ctx.Done():
			p.sink.OnOrderResult(p.worker, run, start, time.Time{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "not sent"))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		p.mu.Lock()
		info := p.info
		p.mu.Unlock()
		leaseExpiry, err := send(ctx, info)
		p.sink.OnOrderResult(p.worker, run, start, leaseExpiry, err)
	})
}
