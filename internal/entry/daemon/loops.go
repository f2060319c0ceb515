package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
)

// Periods of the loops.
const (
	// directoryPeriod is longer than the answers of a leaving upstream take to
	// show it; a list of 170 upstreams each 2 s cost a host 7.9 KB/s.
	directoryPeriod      = 5 * time.Second
	emptyDirectoryPeriod = time.Second
	ackPeriod            = time.Second
	settlePeriod         = 2 * time.Second
	sweepPeriod          = 10 * time.Minute
	cleanPeriod          = 10 * time.Minute
)

// startLoops runs all loops until ctx ends.
func (h *host) startLoops(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { h.follower.Start(ctx) })
	wg.Go(func() { h.daemon.report("heartbeats", h.heartbeater.Run(ctx)) })
	wg.Go(func() { h.daemon.report("runner", h.controller.Run(ctx)) })
	wg.Go(func() { h.recorder.Start(ctx) })
	wg.Go(func() { h.claimer.Run(ctx) })
	wg.Go(func() { h.followDirectory(ctx) })
	wg.Go(func() { h.runEvery(ctx, ackPeriod, "acknowledgement", h.acknowledgeContracts) })
	wg.Go(func() { h.runEvery(ctx, settlePeriod, "pending contracts", h.settleAmendments) })
	wg.Go(func() { h.runEvery(ctx, sweepPeriod, "claim sweep", h.sweepClaims) })
	wg.Go(func() { h.runEvery(ctx, cleanPeriod, "gang cleaning", h.cleanGangs) })
}

// runEvery calls f at once and then each period.
func (h *host) runEvery(ctx context.Context, period time.Duration, part string, f func(context.Context) error) {
	for ctx.Err() == nil {
		h.daemon.report(part, f(ctx))
		select {
		case <-ctx.Done():
		case <-h.daemon.options.Clock.After(period):
		}
	}
}

// followDirectory reads the platform's list. A host that knows no upstream yet
// asks again soon, since it can serve nothing.
func (h *host) followDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		period := emptyDirectoryPeriod
		directory, err := h.daemon.platform.Hosts.List(ctx, h.daemon.settings.Place)
		h.daemon.report("host list", err)
		if err == nil {
			h.dispatcher.SetDirectory(directory)
		}
		if err == nil && len(directory.Upstreams) > 0 {
			period = directoryPeriod
		}
		select {
		case <-ctx.Done():
		case <-h.daemon.options.Clock.After(period):
		}
	}
}

// acknowledgeContracts lets the holder of the place lease say which contract revision
// all live hosts of the place have.
func (h *host) acknowledgeContracts(ctx context.Context) error {
	lease, held := h.leaser.Held()
	if !held || !h.follower.Current() {
		return nil
	}
	view, _ := h.follower.View()
	revision, complete := h.members.lowestRevision(h.dispatcher.View().Live, h.daemon.settings.Host, view.Revision)
	if !complete || revision == 0 {
		return nil
	}
	return h.amender.Acknowledge(ctx, h.daemon.settings.Place, revision, lease.Condition)
}

// settleAmendments accepts pending amendments that every place has acknowledged. The
// accounts come from the known contracts: a scan of 220 contract rows cost the
// holder 28 KB/s.
func (h *host) settleAmendments(ctx context.Context) error {
	if _, held := h.leaser.Held(); !held {
		return nil
	}
	for _, account := range h.follower.Pending() {
		if _, err := h.amender.Settle(ctx, account); err != nil {
			return err
		}
	}
	return nil
}

// sweepClaims deletes ended claims past their retention. Only the holder of the
// first place sweeps, since the claims of all places are in one table.
func (h *host) sweepClaims(ctx context.Context) error {
	s := h.daemon.settings
	if _, held := h.leaser.Held(); !held || s.Place != s.Places[0].Place {
		return nil
	}
	_, err := h.claimer.Sweep(ctx, h.retention)
	return err
}

// retention returns how long the account's contract keeps ended work. It is
// not known without a current view, because an amendment that is not yet read
// here may have raised it.
func (h *host) retention(account primrosespar.Account) (time.Duration, bool) {
	view, _ := h.follower.View()
	c, ok := view.Find(account)
	return c.Contract.Retention, ok && h.follower.Current()
}

// cleanGangs deletes the rows of ended gangs past their retention; only the holder
// of the place lease does.
func (h *host) cleanGangs(ctx context.Context) error {
	_, err := h.cleaner.Pass(ctx)
	return err
}

// drain stops taking new work and waits for what is in flight.
func (h *host) drain(ctx context.Context) {
	clock := h.daemon.options.Clock
	h.server.StartDrain()
	clock.Sleep(h.daemon.options.Grace)
	h.dispatcher.SetDraining(true)
	drainCtx, cancel := context.WithTimeout(ctx, h.daemon.settings.Timeouts.Drain)
	defer cancel()
	h.daemon.report("drain", h.server.Drain(drainCtx))
	h.daemon.report("claims", h.claimer.Drain(drainCtx))
	h.daemon.report("lease", h.leaser.Release(drainCtx))
}

// close ends what the loops left open.
func (h *host) close() error {
	h.batcher.Close()
	h.forwarder.Close()
	return h.messenger.Close()
}
