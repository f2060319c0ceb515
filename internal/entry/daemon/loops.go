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
	firstDirectoryPeriod = time.Second
	ackPeriod            = time.Second
	settlePeriod         = 2 * time.Second
	sweepPeriod          = 10 * time.Minute
	cleanPeriod          = 10 * time.Minute
)

// start runs all loops until ctx ends.
func (h *host) start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { h.contracts.Run(ctx) })
	wg.Go(func() { h.daemon.note("heartbeats", h.heartbeats.Run(ctx)) })
	wg.Go(func() { h.daemon.note("runner", h.runner.Run(ctx)) })
	wg.Go(func() { h.recorder.Run(ctx) })
	wg.Go(func() { h.claims.Run(ctx) })
	wg.Go(func() { h.followDirectory(ctx) })
	wg.Go(func() { h.every(ctx, ackPeriod, "acknowledgement", h.acknowledge) })
	wg.Go(func() { h.every(ctx, settlePeriod, "pending contracts", h.settle) })
	wg.Go(func() { h.every(ctx, sweepPeriod, "claim sweep", h.sweep) })
	wg.Go(func() { h.every(ctx, cleanPeriod, "gang cleaning", h.clean) })
}

// every calls f at once and then each period.
func (h *host) every(ctx context.Context, period time.Duration, part string, f func(context.Context) error) {
	for ctx.Err() == nil {
		h.daemon.note(part, f(ctx))
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
		period := firstDirectoryPeriod
		directory, err := h.daemon.platform.Hosts.List(ctx, h.daemon.settings.Place)
		h.daemon.note("host list", err)
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

// acknowledge lets the holder of the place lease say which contract revision
// all live hosts of the place have.
func (h *host) acknowledge(ctx context.Context) error {
	lease, held := h.lease.Held()
	if !held || !h.contracts.Current() {
		return nil
	}
	view, _ := h.contracts.View()
	revision, all := h.members.revision(h.dispatcher.View().Live, h.daemon.settings.Host, view.Revision)
	if !all || revision == 0 {
		return nil
	}
	return h.amender.Acknowledge(ctx, h.daemon.settings.Place, revision, lease.Condition)
}

// settle accepts pending amendments that every place has acknowledged. The
// accounts come from the known contracts: a scan of 220 contract rows cost the
// holder 28 KB/s.
func (h *host) settle(ctx context.Context) error {
	if _, held := h.lease.Held(); !held {
		return nil
	}
	for _, account := range h.contracts.Pending() {
		if _, err := h.amender.Settle(ctx, account); err != nil {
			return err
		}
	}
	return nil
}

// sweep deletes ended claims past their retention. Only the holder of the
// first place sweeps, since the claims of all places are in one table.
func (h *host) sweep(ctx context.Context) error {
	s := h.daemon.settings
	if _, held := h.lease.Held(); !held || s.Place != s.Places[0].Place {
		return nil
	}
	_, err := h.claims.Sweep(ctx, h.retention)
	return err
}

// retention returns how long the account's contract keeps ended work. It is
// not known without a current view, because an amendment that is not yet read
// here may have raised it.
func (h *host) retention(account primrosespar.Account) (time.Duration, bool) {
	view, _ := h.contracts.View()
	c, ok := view.Find(account)
	return c.Contract.Retention, ok && h.contracts.Current()
}

// clean deletes the rows of ended gangs past their retention; only the holder
// of the place lease does.
func (h *host) clean(ctx context.Context) error {
	_, err := h.cleaner.Pass(ctx)
	return err
}

// drain stops taking new work and waits for what is in flight.
func (h *host) drain(ctx context.Context) {
	clock := h.daemon.options.Clock
	h.server.StartDrain()
	clock.Sleep(h.daemon.options.Grace)
	h.dispatcher.SetDraining(true)
	limit, cancel := context.WithTimeout(ctx, h.daemon.settings.Timeouts.Drain)
	defer cancel()
	h.daemon.note("drain", h.server.Drain(limit))
	h.daemon.note("claims", h.claims.Drain(limit))
	h.daemon.note("lease", h.lease.Release(limit))
}

// close ends what the loops left open.
func (h *host) close() error {
	h.batches.Close()
	h.forwarder.Close()
	return h.messenger.Close()
}
