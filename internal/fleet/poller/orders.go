package poller

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"

	"primrosespar.example/primrosespar"
)

// goOrder sends an order on its own goroutine, unless the poller has ended.
func (p *Poller) goOrder(send func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.tasks.Go(send)
	}
}

// Start sends a start order and passes the result to the sink. The poller sets
// the worker, address, token and lease of the order.
func (p *Poller) Start(ctx context.Context, start primrosespar.Start) {
	p.mu.Lock()
	p.queued[start.Run] = false
	p.mu.Unlock()
	p.sendOrder(ctx, func(ctx context.Context, info primrosespar.WorkerInfo) (time.Time, error) {
		if err := p.refreshClock(ctx, info); err != nil {
			p.takeWithdrawn(start.Run)
			return time.Time{}, err
		}
		if p.takeWithdrawn(start.Run) {
			return time.Time{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "the start was withdrawn before it was sent")
		}
		if err := p.opts.CheckStart(); err != nil {
			return time.Time{}, err
		}
		p.mu.Lock()
		grant := p.extendLease(p.clock.Now())
		leaseExpiry, token := p.leaseExpiry, p.fencer.Token(p.worker)
		p.mu.Unlock()
		if grant.Until == 0 {
			return time.Time{}, primrosespar.Fail(primrosespar.CodeWorkerLate, "there is no lease to give to the worker")
		}
		start.Worker, start.Address, start.Token, start.LeaseUntil = p.worker, info.Address, token, grant.Until
		return leaseExpiry, p.ignoreOutdated(token, p.fleet.Start(ctx, start))
	}, start.Run, true)
}

// Withdraw keeps a start from being sent that still waits for others to be
// answered. A worker may have thousands of them.
func (p *Poller) Withdraw(run primrosespar.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waits := p.queued[run]; waits {
		p.queued[run] = true
	}
}

// takeWithdrawn ends the wait of a start and reports whether it was withdrawn.
func (p *Poller) takeWithdrawn(run primrosespar.Run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	withdrawn := p.queued[run]
	delete(p.queued, run)
	return withdrawn
}

// refreshClock polls a worker that has been idle for so long that the reading of
// its clock is too old for a lease. A failure means that no order was sent.
func (p *Poller) refreshClock(ctx context.Context, info primrosespar.WorkerInfo) error {
	p.mu.Lock()
	fresh := p.lessor.Age(p.clock.Now()) <= maxReadingAge
	p.mu.Unlock()
	if fresh {
		return nil
	}
	request := primrosespar.Poll{Worker: p.worker, Address: info.Address, Token: p.fencer.Token(p.worker)}
	requestedAt := p.clock.Now()
	report, err := p.fleet.Poll(ctx, request)
	if primrosespar.CodeOf(err) == primrosespar.CodeWorkerLost {
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "the worker did not report before the start").WithCause(err)
	}
	if err = p.ignoreOutdated(request.Token, err); err != nil {
		return err
	}
	leaseExpiry, current := p.handleReport(request, report)
	if !current {
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "the worker has restarted")
	}
	p.sink.OnReport(p.worker, report, requestedAt, leaseExpiry)
	return nil
}

// Stop sends a stop order and passes the result to the sink.
func (p *Poller) Stop(ctx context.Context, run primrosespar.Run) {
	p.sendOrder(ctx, func(ctx context.Context, info primrosespar.WorkerInfo) (time.Time, error) {
		token := p.fencer.Token(p.worker)
		err := p.fleet.Stop(ctx, primrosespar.Stop{Worker: p.worker, Address: info.Address, Token: token, Run: run})
		return time.Time{}, p.ignoreOutdated(token, err)
	}, run, false)
}

// Throttle sets the share of its speed at which a run works and passes the
// result to the sink.
func (p *Poller) Throttle(ctx context.Context, run primrosespar.Run, percent int) {
	p.goOrder(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		p.mu.Lock()
		info, token := p.info, p.fencer.Token(p.worker)
		p.mu.Unlock()
		err := protect(func() error {
			return p.fleet.Throttle(ctx, primrosespar.Throttle{
				Worker: p.worker, Address: info.Address, Token: token, Run: run, Percent: percent,
			})
		})
		err = p.ignoreOutdated(token, err)
		p.sink.OnThrottleResult(p.worker, run, percent, err)
	})
}

// sendOrder sends one order on its own goroutine, with at most
// maxOrdersInFlight at once.
func (p *Poller) sendOrder(ctx context.Context, send func(context.Context, primrosespar.WorkerInfo) (time.Time, error), run primrosespar.Run, start bool) {
	p.goOrder(func() {
		select {
		case p.orderSlots <- struct{}{}:
			defer func() { <-p.orderSlots }()
		case <-ctx.Done():
			p.sink.OnOrderResult(p.worker, run, start, time.Time{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "the order was not sent because its context ended"))
			return
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		p.mu.Lock()
		info := p.info
		p.mu.Unlock()
		var leaseExpiry time.Time
		err := protect(func() (err error) {
			leaseExpiry, err = send(ctx, info)
			return err
		})
		p.sink.OnOrderResult(p.worker, run, start, leaseExpiry, err)
	})
}

// protect runs a call to the worker and turns a panic into a failure after which
// the order may have been carried out.
func protect(call func() error) error {
	var err error
	if recovered := panics.Try(func() { err = call() }); recovered != nil {
		return primrosespar.FailUnknown(primrosespar.CodeWorkerLost, "the call to the worker panicked").WithCause(recovered.AsError())
	}
	return err
}
