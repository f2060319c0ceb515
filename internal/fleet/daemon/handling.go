package daemon

import (
	"context"
	"fmt"
	"time"

	"primrosespar.example/primrosespar"
)

var _ primrosespar.FleetHandler = (*Daemon)(nil)

// HandleBeat implements primrosespar.FleetHandler.
func (d *Daemon) HandleBeat(_ context.Context, beat primrosespar.FleetBeat) (primrosespar.FleetNews, error) {
	term := d.term.Load()
	if term == nil {
		return primrosespar.FleetNews{}, nil
	}
	news := primrosespar.FleetNews{
		Leading: true, Token: term.Token(), StoreAge: d.storeAge(), Stuck: term.Stuck(),
		Hosts: d.elector.Beat(beat),
	}
	news.Waiting, news.Counted = term.Waiting()
	if catalog := d.follower.Catalog(); catalog != nil {
		news.CatalogVersion, news.CatalogAge = catalog.Version, d.follower.Age()
	}
	return news, nil
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
func (d *Daemon) HandleState(ctx context.Context, id primrosespar.JobID) (primrosespar.JobState, error) {
	term := d.term.Load()
	if term == nil {
		return "", notHolder()
	}
	return term.State(ctx, id)
}

// HandleCancel implements primrosespar.FleetHandler.
func (d *Daemon) HandleCancel(ctx context.Context, id primrosespar.JobID) error {
	term := d.term.Load()
	if term == nil {
		return notHolder()
	}
	return term.Cancel(ctx, id)
}

// HandleSucceed implements primrosespar.FleetHandler.
func (d *Daemon) HandleSucceed(context.Context) error {
	d.elector.Succeed()
	return nil
}

// notHolder returns the failure of a call that reached the wrong host.
func notHolder() error {
	return primrosespar.Fail(primrosespar.CodeNotHolder, "this host does not hold the fleet lease")
}

// holderChanged logs a change of the holder.
func (d *Daemon) holderChanged(holder primrosespar.Host, token primrosespar.Token, why string) {
	d.opts.Changed("holder", fmt.Sprintf("host %q, token %d: %s", holder, token, why))
}

// catalogChanged logs a new version of the catalog.
func (d *Daemon) catalogChanged(version primrosespar.Version, age time.Duration) {
	d.opts.Changed("catalog", fmt.Sprintf("version %d, read %v ago", version, age))
}
