package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
)

// Periods of the loops.
const (
	// directoryPeriod may be long because a leaving upstream announces itself
	// in its answers first. To read 170 upstreams every 2 s, a host needed
	// 7.9 KB/s.
	directoryPeriod      = 5 * time.Second
	emptyDirectoryPeriod = time.Second
	ackPeriod            = time.Second
	settlePeriod         = 2 * time.Second
	sweepPeriod          = 10 * time.Minute
	cleanPeriod          = 10 * time.Minute
)

// startLoops runs all loops until ctx is done. Errors are logged with the name
// of the part; that of the controller is "runner".
func (h *host) startLoops(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { h.follower.Run(ctx) })
	wg.Go(func() { h.daemon.report("heartbeats", h.heartbeater.Run(ctx)) })
	wg.Go(func() { h.daemon.report("runner", h.controller.Run(ctx)) })
	wg.Go(func() { h.recorder.Run(ctx) })
	wg.Go(func() { h.claimer.Run(ctx) })
	wg.Go(func() { h.followDirectory(ctx) })
	wg.Go(func() { h.runEvery(ctx, ackPeriod, "acknowledgement", h.acknowledgeContracts) })
	wg.Go(func() { h.runEvery(ctx, settlePeriod, "pending contracts", h.settleAmendments) })
	wg.Go(func() { h.runEvery(ctx, sweepPeriod, "claim sweep", h.sweepClaims) })
	wg.Go(func() { h.runEvery(ctx, cleanPeriod, "gang cleaning", h.cleanGangs) })
}

// runEvery calls f at once and then once per period until ctx is done.
func (h *host) runEvery(ctx context.Context, period time.Duration, part string, f func(context.Context) error) {
	for ctx.Err() == nil {
		h.daemon.report(part, f(ctx))
		select {
		case <-ctx.Done():
		case <-h.daemon.options.Clock.After(period):
		}
	}
}

// followDirectory polls the platform's list of hosts and upstreams. A host that
// knows no upstream yet polls more often, because it cannot serve requests.
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

// acknowledgeContracts writes the contract revision that all live hosts of the
// place have, if this host holds the place lease.
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

// settleAmendments accepts the pending amendments that every place has
// acknowledged, if this host holds the place lease. The accounts come from the
// known contracts, because a scan of 220 contract rows cost the holder 28 KB/s.
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

// sweepClaims deletes the ended claims whose retention is over. Only the lease
// holder of the first place does so, because the claims of all places are in
// one table.
func (h *host) sweepClaims(ctx context.Context) error {
	s := h.daemon.settings
	if _, held := h.leaser.Held(); !held || s.Place != s.Places[0].Place {
		return nil
	}
	_, err := h.claimer.Sweep(ctx, h.retention)
	return err
}

// retention returns how long the account's contract keeps the rows of ended
// work. It is unknown without a current view of the contracts, because an
// amendment that this host has not read yet may have raised it.
func (h *host) retention(account primrosespar.Account) (time.Duration, bool) {
	view, _ := h.follower.View()
	c, ok := view.Find(account)
	return c.Contract.Retention, ok && h.follower.Current()
}

// cleanGangs deletes the rows of ended gangs whose retention is over, if this
// host holds the place lease.
func (h *host) cleanGangs(ctx context.Context) error {
	_, err := h.cleaner.Pass(ctx)
	return err
}

// drain stops accepting work, waits for the requests in flight, writes the
// queued outcomes of claims and releases the place lease.
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

// close releases the connections that the loops used.
func (h *host) close() error {
	h.batcher.Close()
	h.forwarder.Close()
	return h.messenger.Close()
}
