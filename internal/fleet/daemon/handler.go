package daemon

import (
	"context"
	"fmt"
	"time"

	"primrosespar.example/primrosespar"
)

var _ primrosespar.FleetHandler = (*Daemon)(nil)

// HandleHeartbeat implements primrosespar.FleetHandler.
func (d *Daemon) HandleHeartbeat(_ context.Context, heartbeat primrosespar.FleetHeartbeat) (primrosespar.FleetHeartbeatReply, error) {
	term := d.term.Load()
	if term == nil {
		return primrosespar.FleetHeartbeatReply{Resigned: d.elector.Resigned()}, nil
	}
	reply := primrosespar.FleetHeartbeatReply{
		Leading: true, Token: term.Token(), StoreAge: d.storeAge(), CommitStalled: term.Stalled(),
		Hosts: d.elector.HandleHeartbeat(heartbeat), LeaseVersion: d.committer.Version(),
	}
	reply.Waiting, reply.WaitingKnown = term.Waiting()
	confirmation := d.follower.Confirmation()
	reply.CatalogVersion, reply.CatalogRead, reply.CatalogReads = confirmation.Version, confirmation.Read, confirmation.Reads
	reply.CatalogAge = d.follower.Age()
	return reply, nil
}

// HandleSubmit implements primrosespar.FleetHandler.
func (d *Daemon) HandleSubmit(ctx context.Context, job primrosespar.Submission) error {
	term := d.term.Load()
	if term == nil {
		return notHolder()
	}
	return term.Submit(ctx, job)
}

// HandleState implements primrosespar.FleetHandler.
func (d *Daemon) HandleState(ctx context.Context, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	term := d.term.Load()
	if term == nil {
		return "", notHolder()
	}
	return term.State(ctx, request)
}

// HandleCancel implements primrosespar.FleetHandler.
func (d *Daemon) HandleCancel(ctx context.Context, request primrosespar.JobRequest) error {
	term := d.term.Load()
	if term == nil {
		return notHolder()
	}
	return term.Cancel(ctx, request)
}

// HandleAdvise implements primrosespar.FleetHandler.
func (d *Daemon) HandleAdvise(ctx context.Context, request primrosespar.AdviceRequest) (primrosespar.Advice, error) {
	return d.backend.Fleet.Advise(ctx, request)
}

// HandleTakeOver implements primrosespar.FleetHandler.
func (d *Daemon) HandleTakeOver(_ context.Context, token primrosespar.Token) error {
	if d.draining.Load() {
		return primrosespar.Fail(primrosespar.CodeDraining, "this host is stopping")
	}
	d.elector.TakeOver(token)
	return nil
}

// notHolder returns the failure of a call that only the holder can answer.
func notHolder() error {
	return primrosespar.Fail(primrosespar.CodeNotHolder, "this host does not hold the fleet lease")
}

// logHolderChange passes a change of the holder to OnChange.
func (d *Daemon) logHolderChange(holder primrosespar.Host, token primrosespar.Token, reason string) {
	d.opts.OnChange("holder", fmt.Sprintf("host %q, token %d: %s", holder, token, reason))
}

// logCatalogChange passes a new version of the catalog to OnChange.
func (d *Daemon) logCatalogChange(change primrosespar.CatalogChange) {
	how := "read on its own"
	if change.Announced {
		how = "announced by the holder"
	}
	d.opts.OnChange("catalog", fmt.Sprintf("version %d replaces %d, %s, read in %v, not confirmed for %v",
		change.Version, change.Previous, how, change.ReadTime, change.Unconfirmed))
}

// Catalog returns the version of the catalog in force at this host, 0 if there
// is none, and how long ago it was last known to be the newest.
func (d *Daemon) Catalog() (primrosespar.Version, time.Duration) {
	catalog := d.follower.Catalog()
	if catalog == nil {
		return 0, 0
	}
	return catalog.Version, d.follower.Age()
}

// UnconfirmedTime returns how long ago the last call was sent that showed this
// host to hold the fleet lease, 0 while it runs no term.
func (d *Daemon) UnconfirmedTime() time.Duration {
	if d.term.Load() == nil {
		return 0
	}
	return d.committer.Unconfirmed()
}

// LostWork returns the core-seconds that this host has seen lost as holder for
// the cause.
func (d *Daemon) LostWork(cause primrosespar.LossCause) float64 { return d.accountant.Lost(cause) }

var _ primrosespar.FleetViewer = (*Daemon)(nil)

// Status implements primrosespar.FleetViewer.
func (d *Daemon) Status(ctx context.Context) primrosespar.FleetStatus {
	status := primrosespar.FleetStatus{Host: d.settings.Host, Ready: d.Ready()}
	status.Holder, status.Token = d.elector.LastHolder()
	status.CatalogVersion, status.CatalogAge = d.Catalog()
	term := d.term.Load()
	if term == nil {
		return status
	}
	status.Holder, status.Token = d.settings.Host, term.Token()
	if state, err := term.View(ctx); err == nil {
		status.State = &state
	} else {
		d.opts.OnError("status", err)
	}
	return status
}

// Explain implements primrosespar.FleetViewer.
func (d *Daemon) Explain(ctx context.Context, id primrosespar.JobID) (primrosespar.JobView, error) {
	term := d.term.Load()
	if term == nil {
		holder, _ := d.elector.LastHolder()
		return primrosespar.JobView{}, primrosespar.Fail(primrosespar.CodeNotHolder, "host %s schedules the fleet", holder)
	}
	return term.Explain(ctx, id)
}
