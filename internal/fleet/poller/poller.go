// Package poller communicates with one worker: it polls the worker while it has
// runs, renews its lease and sends it orders.
//
// # Usage
//
//	p := poller.New(fleet, clock, info, fencer.New(term), sink,
//		poller.WithLease(6*time.Second))
//	go p.Run(ctx)
//	p.SetBusy(true)
//	p.Start(ctx, start)
//	p.Acknowledge(17)
//
// The lease ends at a time on the worker's clock, which is estimated from the
// worker's last report. Each result that is passed to the sink includes the
// time on this host's clock by which the lease has certainly expired, even if
// the worker's clock is slow.
package poller

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
)

// Timeouts and limits of the communication with one worker.
const (
	// pollWait is how long a poll waits at the worker for a run to end; the
	// platform allows at most 2 s.
	pollWait = 2 * time.Second
	// shortPollWait replaces pollWait while filler tasks share the worker with
	// tasks that serve users, since the tail latency in a report covers half a
	// second, and while the lease is limited, so that it is renewed soon after
	// the next confirmed commit.
	shortPollWait = 500 * time.Millisecond
	// answerTimeout is how long the answer to a poll may take beyond its wait.
	answerTimeout = 900 * time.Millisecond
	// orderTimeout bounds a start, stop or throttle order.
	orderTimeout = 800 * time.Millisecond
	// retryDelay is the wait after a failed poll.
	retryDelay = 250 * time.Millisecond
	// acknowledgeTimeout bounds the wait until reported ends are stored before
	// the next poll.
	acknowledgeTimeout = time.Second
	// maxReadingAge is how old the last reading of the worker's clock may be for
	// a start. The lease gets shorter with its age.
	maxReadingAge = 50 * time.Second
	// acknowledgeWindow is how long after a report ends may be acknowledged. A
	// worker that restarts under its name counts its ends from 1 again; it takes
	// longer than this to restart and to run a task, so that no unread end of
	// the new lifetime can be acknowledged.
	acknowledgeWindow = 400 * time.Millisecond
	// maxOrdersInFlight bounds the start and stop orders in flight to one
	// worker.
	maxOrdersInFlight = 3
)

// Sink receives the results of polls and orders. leaseExpiry is when the lease
// that was sent to the worker has certainly expired.
type Sink interface {
	// OnReport receives the answer to a poll that was sent at requestedAt.
	OnReport(worker primrosespar.Worker, report primrosespar.WorkerReport, requestedAt, leaseExpiry time.Time)
	// OnPollError receives the error of a failed poll.
	OnPollError(worker primrosespar.Worker, leaseExpiry time.Time, err error)
	// OnOrderResult receives the result of a start or stop order; only a start
	// order carries a lease.
	OnOrderResult(worker primrosespar.Worker, run primrosespar.Run, start bool, leaseExpiry time.Time, err error)
	// OnThrottleResult receives the result of a throttle order.
	OnThrottleResult(worker primrosespar.Worker, run primrosespar.Run, percent int, err error)
}

// Options configure a Poller.
type Options struct {
	// Lease is how long the worker keeps its runs without a renewal.
	Lease time.Duration
	// LongestLease is the longest lease that the worker accepts; 0 means that it
	// is not longer than the others.
	LongestLease time.Duration
	// ConfirmedAt returns when the last confirmed commit of this holder was
	// sent.
	ConfirmedAt func() primrosespar.Instant
	// Stopwatch measures the age of reports. Without one, the time for which the
	// machine was suspended does not count.
	Stopwatch primrosespar.Stopwatch
	// CheckStart returns why no start order may leave now, or nil.
	CheckStart func() error
}

// Option sets one option.
type Option func(*Options)

// WithLease sets how long the worker keeps its runs without a renewal.
func WithLease(lease time.Duration) Option { return func(o *Options) { o.Lease = lease } }

// WithLongestLease sets the longest lease that the worker accepts.
func WithLongestLease(lease time.Duration) Option {
	return func(o *Options) { o.LongestLease = lease }
}

// WithConfirmedAt sets the function that returns when the last confirmed commit
// of this holder was sent. By default all commits are confirmed at once.
func WithConfirmedAt(confirmedAt func() primrosespar.Instant) Option {
	return func(o *Options) { o.ConfirmedAt = confirmedAt }
}

// WithStopwatch sets the stopwatch that measures the age of reports; nil has no
// effect.
func WithStopwatch(s primrosespar.Stopwatch) Option { return func(o *Options) { o.Stopwatch = s } }

// WithCheckStart sets the function that is asked right before a start order
// leaves, and returns why it may not. By default all may.
func WithCheckStart(check func() error) Option { return func(o *Options) { o.CheckStart = check } }

// Poller polls one worker and sends it orders. It is safe for concurrent use.
type Poller struct {
	fleet      primrosespar.Fleet
	clock      primrosespar.Clock
	fencer     *fencer.Fencer
	sink       Sink
	opts       Options
	worker     primrosespar.Worker
	orderSlots chan struct{}
	tasks      conc.WaitGroup
	wake       chan struct{}

	mu     sync.Mutex
	info   primrosespar.WorkerInfo
	busy   bool
	shared bool
	// queued holds the starts that wait for an order slot; the value is set for
	// those that were withdrawn.
	queued map[primrosespar.Run]bool
	// ended is set once Run waits for the orders in flight only.
	ended bool
	// polled is set once the worker has answered a poll since the last Reset,
	// unresponsive while the last poll has failed.
	polled       bool
	unresponsive bool
	// isolated workers are not polled until they restart.
	isolated bool
	// startedAt is the lifetime of the worker that the fields below belong to.
	startedAt time.Time
	// stored is the sequence up to which ends of runs are stored, acknowledged
	// the one up to which the worker was told so, and lastSequence the highest
	// that was reported.
	stored       uint64
	acknowledged uint64
	lastSequence uint64
	// reportedAt is when the last report was received, reportedElapsed the
	// reading of the stopwatch then.
	reportedAt      time.Time
	reportedElapsed time.Duration
	lessor          *lessor.Lessor
	// leaseExpiry is when the last lease that was sent has certainly expired,
	// restartExpiry the same if a lifetime that has not reported yet has taken it.
	leaseExpiry   time.Time
	restartExpiry time.Time
}

// New returns a Poller that has not polled yet.
func New(fleet primrosespar.Fleet, clock primrosespar.Clock, info primrosespar.WorkerInfo, f *fencer.Fencer, sink Sink, opts ...Option) *Poller {
	p := &Poller{
		fleet: fleet, clock: clock, fencer: f, sink: sink, info: info, worker: info.Worker,
		orderSlots: make(chan struct{}, maxOrdersInFlight), wake: make(chan struct{}, 1),
		queued: map[primrosespar.Run]bool{},
		opts: Options{
			Lease:       lessor.DefaultLease,
			ConfirmedAt: func() primrosespar.Instant { return primrosespar.Instant{At: clock.Now()} },
			CheckStart:  func() error { return nil },
		},
	}
	for _, opt := range opts {
		opt(&p.opts)
	}
	p.lessor = lessor.New(p.opts.Lease, p.opts.ConfirmedAt)
	return p
}

// Run polls the worker whenever needed until the context ends and then waits
// for the orders in flight.
func (p *Poller) Run(ctx context.Context) {
	defer p.tasks.Wait()
	defer p.end()
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

// end keeps orders from being sent after the last poll.
func (p *Poller) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// SetBusy sets whether the worker has to be polled.
func (p *Poller) SetBusy(busy bool) {
	p.mu.Lock()
	changed := busy != p.busy
	p.busy = busy
	p.mu.Unlock()
	if changed {
		p.notify()
	}
}

// SetShared sets whether the worker has to be polled more often, because filler
// tasks may slow down other tasks there.
func (p *Poller) SetShared(shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = shared
}

// SetWorker updates the registration of the worker, such as its address.
func (p *Poller) SetWorker(info primrosespar.WorkerInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.info = info
}

// LeaseExpiry returns when the lease of the last order or poll that was sent
// has certainly expired, whether or not it was answered.
func (p *Poller) LeaseExpiry() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseExpiry
}

// RestartExpiry is LeaseExpiry for the case that the worker had restarted, and
// its new lifetime has taken the order or poll.
func (p *Poller) RestartExpiry() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restartExpiry
}

// Acknowledge records that the ends of runs up to the sequence are stored, in
// the lifetime of the worker that began at startedAt.
func (p *Poller) Acknowledge(startedAt time.Time, sequence uint64) {
	p.mu.Lock()
	if startedAt.Equal(p.startedAt) {
		p.stored = max(p.stored, sequence)
	}
	p.mu.Unlock()
	p.notify()
}

// Restart records that the worker has restarted since its last report: it has
// to be polled again.
func (p *Poller) Restart() {
	p.mu.Lock()
	p.beginLifetime(time.Time{})
	p.mu.Unlock()
	p.notify()
}

// Isolate ends the polls, and with them the renewal of the worker's lease, until
// the worker restarts.
func (p *Poller) Isolate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = true
}

// beginLifetime discards what belongs to an earlier lifetime of the worker,
// which numbers the ends of its runs from 1 again, and raises the token, so that
// orders to that lifetime have no effect on this one. The caller holds the lock.
func (p *Poller) beginLifetime(startedAt time.Time) {
	if !p.startedAt.IsZero() {
		p.fencer.Raise(p.worker)
	}
	p.startedAt, p.isolated = startedAt, false
	p.stored, p.acknowledged, p.lastSequence, p.polled = 0, 0, 0, false
	p.lessor.Forget()
}

// notify wakes the goroutine of Run after a change.
func (p *Poller) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// needsPoll reports whether the worker has to be polled.
func (p *Poller) needsPoll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isolated && (p.busy || !p.polled || p.lastSequence > p.acknowledged)
}

// poll polls the worker once and passes the result to the sink.
func (p *Poller) poll(ctx context.Context) {
	requestedAt := p.clock.Now()
	request := p.nextPoll(requestedAt)
	pollCtx, cancel := context.WithTimeout(ctx, request.Wait+answerTimeout)
	defer cancel()
	var report primrosespar.WorkerReport
	err := protect(func() (err error) {
		report, err = p.fleet.Poll(pollCtx, request)
		return err
	})
	if err = p.ignoreOutdated(request.Token, err); err != nil {
		p.mu.Lock()
		p.unresponsive = true
		leaseExpiry := p.leaseExpiry
		p.mu.Unlock()
		p.sink.OnPollError(p.worker, leaseExpiry, err)
		p.sleep(ctx, retryDelay)
		return
	}
	leaseExpiry, current := p.handleReport(request, report)
	if !current {
		return
	}
	p.sink.OnReport(p.worker, report, requestedAt, leaseExpiry)
	if len(report.Ended) > 0 && !p.mayAcknowledge() {
		p.awaitAcknowledgement(ctx)
	}
}

// nextPoll returns the poll to send now.
func (p *Poller) nextPoll(now time.Time) primrosespar.Poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := primrosespar.Poll{Worker: p.worker, Address: p.info.Address, Token: p.fencer.Token(p.worker)}
	if p.unresponsive || !p.polled {
		// The lease of a worker that does not answer is not extended, so that
		// its runs expire. The poll does not wait either, to get an answer
		// soon.
		return request
	}
	if p.stored > p.acknowledged && p.reportAge(now) > acknowledgeWindow {
		// The worker may have restarted. This poll confirms its lifetime, the
		// next one acknowledges.
		request.LeaseUntil = p.extendLease(now).Until
		return request
	}
	if p.stored > p.acknowledged {
		request.Acknowledged = p.stored
	}
	grant := p.extendLease(now)
	request.LeaseUntil, request.Wait = grant.Until, pollWait
	if p.shared || grant.Limited {
		request.Wait = shortPollWait
	}
	return request
}

// elapsed returns the reading of the stopwatch.
func (p *Poller) elapsed() time.Duration {
	if p.opts.Stopwatch == nil {
		return 0
	}
	return p.opts.Stopwatch.Elapsed()
}

// reportAge returns the age of the last report. The caller holds the lock.
func (p *Poller) reportAge(now time.Time) time.Duration {
	return max(now.Sub(p.reportedAt), p.elapsed()-p.reportedElapsed)
}

// extendLease returns the lease to send now and updates the expiries. Without one
// to give it returns the zero value, which leaves the lease as it is. The caller
// holds the lock.
func (p *Poller) extendLease(now time.Time) lessor.Grant {
	grant, ok := p.lessor.Extend(now)
	if !ok {
		return lessor.Grant{Limited: grant.Limited}
	}
	if grant.Expiry.After(p.leaseExpiry) {
		p.leaseExpiry = grant.Expiry
	}
	p.restartExpiry = now.Add(lessor.DeliveryTime + lessor.RestartWait(p.opts.Lease, p.opts.LongestLease))
	return grant
}

// ignoreOutdated returns the error of an order with the token. If the token was
// raised since, a refusal by the fence says nothing about a later holder.
func (p *Poller) ignoreOutdated(token primrosespar.Token, err error) error {
	if primrosespar.CodeOf(err) == primrosespar.CodeStaleToken && token < p.fencer.Token(p.worker) {
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "the order was for an earlier lifetime of the worker").WithCause(err)
	}
	return err
}

// handleReport records the answer to a poll and returns leaseExpiry. It reports
// false if the worker has restarted and this lifetime may not have seen the
// present token, so that it has to be polled again first.
func (p *Poller) handleReport(request primrosespar.Poll, report primrosespar.WorkerReport) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !report.StartedAt.Equal(p.startedAt) {
		p.beginLifetime(report.StartedAt)
	} else {
		p.acknowledged = max(p.acknowledged, request.Acknowledged)
	}
	current := request.Token == p.fencer.Token(p.worker)
	p.unresponsive, p.polled = false, current
	p.reportedAt, p.reportedElapsed = p.clock.Now(), p.elapsed()
	if current {
		// Otherwise no start may leave before the worker has seen the present token.
		p.lessor.Observe(report.Clock, primrosespar.Instant{At: p.reportedAt, Elapsed: p.reportedElapsed})
	}
	for _, e := range report.Ended {
		p.lastSequence = max(p.lastSequence, e.Sequence)
	}
	return p.leaseExpiry, current
}

// mayAcknowledge reports whether the next poll acknowledges ends: some are stored,
// and the worker has just confirmed its lifetime.
func (p *Poller) mayAcknowledge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stored > p.acknowledged
}

// awaitAcknowledgement waits until the reported ends of runs are stored, at most
// for acknowledgeTimeout. A poll before that would report them again.
func (p *Poller) awaitAcknowledgement(ctx context.Context) {
	deadline := p.clock.After(acknowledgeTimeout)
	for {
		p.mu.Lock()
		stored := p.stored >= p.lastSequence
		p.mu.Unlock()
		if stored {
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

// sleep waits for the duration or until the context ends.
func (p *Poller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}
