package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/poller"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// workerPoller is the poller of one worker with the function that stops it.
type workerPoller struct {
	*poller.Poller
	cancel context.CancelFunc
}

// updatePollers starts missing pollers and tells each whether its worker has to
// be polled. Workers with runs, whose leases have to be renewed, are polled at
// once; the others when less than MaxFirstPolls first polls are in flight.
func (c *Controller) updatePollers() {
	busy := map[primrosespar.Worker]bool{}
	firstPolls := 0
	for name := range c.pollers {
		if c.scheduler.AwaitsFirstReport(name) {
			firstPolls++
		}
	}
	for _, info := range c.scheduler.WorkersToPoll() {
		p := c.pollers[info.Worker]
		if p == nil {
			if firstPolls >= c.opts.MaxFirstPolls && c.scheduler.Idle(info.Worker) {
				continue
			}
			firstPolls++
			p = c.startPoller(info)
		}
		// A poller polls once by itself. An idle worker needs no more than that.
		busy[info.Worker] = !c.scheduler.Idle(info.Worker) || !c.scheduler.AwaitsFirstReport(info.Worker)
		p.SetWorker(info)
	}
	for name, p := range c.pollers {
		p.SetBusy(busy[name])
		p.SetShared(c.scheduler.Shared(name))
	}
}

// startPoller starts a poller for the worker.
func (c *Controller) startPoller(info primrosespar.WorkerInfo) *workerPoller {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &workerPoller{
		Poller: poller.New(c.parts.Fleet, c.parts.Clock, info, c.fencer, pollSink{c}, poller.WithLease(c.opts.Lease), poller.WithLongestLease(c.opts.LongestLease),
			poller.WithConfirmedAt(c.parts.Committer.ConfirmedAt), poller.WithStopwatch(c.parts.Stopwatch),
			poller.WithCheckStart(func() error { return c.checkStartAt(info.Place) })),
		cancel: cancel,
	}
	c.pollers[info.Worker] = p
	c.goTask("poller", func() { p.Run(ctx) })
	return p
}

// leaseExpiry returns when the last lease that was sent to the worker has
// certainly expired, or the zero time if it has no poller.
func (c *Controller) leaseExpiry(worker primrosespar.Worker) time.Time {
	if p := c.pollers[worker]; p != nil {
		return p.LeaseExpiry()
	}
	return time.Time{}
}

// restartExpiry is leaseExpiry for a lease that was taken by a lifetime of the
// worker which has not reported yet.
func (c *Controller) restartExpiry(worker primrosespar.Worker) time.Time {
	if p := c.pollers[worker]; p != nil {
		return p.RestartExpiry()
	}
	return time.Time{}
}

// logUnconfirmed logs, once per unconfirmedInterval, that no commit has been
// confirmed for a while and at how many workers this holder still renews leases.
func (c *Controller) logUnconfirmed(now time.Time) {
	age := c.parts.Committer.Unconfirmed()
	if age < unconfirmedInterval || now.Sub(c.unconfirmedLoggedAt) < unconfirmedInterval {
		return
	}
	c.unconfirmedLoggedAt = now
	renewed := 0
	for _, p := range c.pollers {
		if p.LeaseExpiry().After(now) {
			renewed++
		}
	}
	c.parts.OnDecision(scheduler.Event{
		Kind:   "commit_unconfirmed",
		Detail: fmt.Sprintf("last commit confirmed %v ago, leases in force at %d workers", age.Round(time.Millisecond), renewed),
	})
}

// applyWorkers passes a new list of workers to the scheduler, has restarted
// workers polled again and stops the pollers of removed workers.
func (c *Controller) applyWorkers(workers []primrosespar.WorkerInfo) {
	for _, worker := range c.scheduler.SetWorkers(workers, c.parts.Clock.Now()) {
		if p := c.pollers[worker]; p != nil {
			p.Restart()
		}
	}
	for worker, p := range c.pollers {
		if !c.scheduler.Knows(worker) {
			p.cancel()
			delete(c.pollers, worker)
		}
	}
}

// readWorkers reads the list of registered workers.
func (c *Controller) readWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	workers, err := c.parts.Source.ListWorkers(ctx)
	if err != nil {
		c.parts.OnError("roster", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.enqueue(func() { c.applyWorkers(workers) })
}

// pollSink implements poller.Sink by passing results to the loop.
type pollSink struct{ c *Controller }

// OnReport implements poller.Sink.
func (s pollSink) OnReport(worker primrosespar.Worker, report primrosespar.WorkerReport, requestedAt, leaseExpiry time.Time) {
	s.c.enqueue(func() {
		recovered := panics.Try(func() {
			s.c.scheduler.HandleReport(worker, report, requestedAt, leaseExpiry, s.c.parts.Clock.Now())
		})
		if recovered != nil {
			s.c.isolate(worker, recovered.AsError())
		}
	})
}

// isolate gives up a worker whose report could not be handled, until it
// restarts. It is not polled any more, so its runs end with its lease, and no
// end of the report is acknowledged.
func (c *Controller) isolate(worker primrosespar.Worker, err error) {
	c.parts.OnError("report", eris.Wrapf(err, "the report of worker %s panicked", worker))
	c.scheduler.Isolate(worker)
	if p := c.pollers[worker]; p != nil {
		p.Isolate()
	}
}

// OnPollError implements poller.Sink.
func (s pollSink) OnPollError(worker primrosespar.Worker, leaseExpiry time.Time, err error) {
	s.c.enqueue(func() {
		s.c.scheduler.MarkUnresponsive(worker, leaseExpiry)
		s.c.parts.OnDecision(scheduler.Event{Kind: "worker_silent", Worker: worker, Detail: err.Error()})
		s.c.handleRefusal(worker, primrosespar.CodeOf(err))
	})
}

// OnThrottleResult implements poller.Sink.
func (s pollSink) OnThrottleResult(worker primrosespar.Worker, run primrosespar.Run, percent int, err error) {
	s.c.enqueue(func() {
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		s.c.scheduler.HandleThrottleResult(scheduler.Throttle{Worker: worker, Run: run, Percent: percent}, code, s.c.parts.Clock.Now())
		s.c.handleRefusal(worker, code)
	})
}

// OnOrderResult implements poller.Sink.
func (s pollSink) OnOrderResult(worker primrosespar.Worker, run primrosespar.Run, start bool, leaseExpiry time.Time, err error) {
	s.c.enqueue(func() {
		now := s.c.parts.Clock.Now()
		code := primrosespar.CodeOK
		if err != nil {
			code = primrosespar.CodeOf(err)
			s.c.parts.OnDecision(scheduler.Event{Kind: "order_failed", Job: run.Task.Job, Worker: worker, Run: run.Number, Detail: err.Error()})
		}
		order := scheduler.Order{Worker: worker, Run: run}
		if start {
			s.c.scheduler.ExtendLease(worker, leaseExpiry)
			s.c.scheduler.HandleStartResult(order, code, now)
		} else {
			s.c.scheduler.HandleStopResult(order, code, now)
		}
		s.c.handleRefusal(worker, code)
	})
}

// handleRefusal acts on result codes that concern the whole term or worker: a
// stale token ends the term, and a restarted worker loses its poller.
func (c *Controller) handleRefusal(worker primrosespar.Worker, code primrosespar.Code) {
	switch code {
	case primrosespar.CodeStaleToken:
		c.termErr = primrosespar.Fail(primrosespar.CodeLeaseLost, "worker %s has seen a later holder", worker)
	case primrosespar.CodeWorkerRestarted:
		c.scheduler.HandleReplacement(worker, c.parts.Clock.Now())
		// Acknowledged sequences and clock readings are invalid after a
		// restart.
		if p := c.pollers[worker]; p != nil {
			p.cancel()
			delete(c.pollers, worker)
		}
	default:
	}
}
