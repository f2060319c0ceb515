package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Times of the maintenance of machines.
const (
	// waveInterval is the time between two reads of the requested waves, which
	// last for tens of seconds.
	waveInterval = time.Second
	// machinesInterval is the time between two reads of the list of machines
	// while a wave is open: a machine that is back makes room for the next.
	machinesInterval = 300 * time.Millisecond
	// maintainTimeout bounds an order to the provider of the machines.
	maintainTimeout = time.Second
)

// startUpkeep reads waves and machines until the context ends.
func (c *Controller) startUpkeep(ctx context.Context) {
	if c.parts.Maintenance == nil {
		return
	}
	c.tasks.Go(func() { c.every(ctx, waveInterval, c.readWaves) })
	c.tasks.Go(func() { c.every(ctx, machinesInterval, c.readMachines) })
}

// readWaves reads the waves that the operator requested.
func (c *Controller) readWaves(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	waves, err := c.parts.Maintenance.Waves(ctx)
	if err != nil {
		c.parts.OnError("waves", err)
		return
	}
	c.parts.OnStoreAnswer()
	c.post(func() {
		c.maintainer.SetWaves(waves, c.parts.Clock.Now())
		c.maintaining.Store(c.maintainer.Active())
	})
}

// readMachines reads the list of machines while a wave is open.
func (c *Controller) readMachines(ctx context.Context) {
	if !c.maintaining.Load() {
		return
	}
	asked := c.parts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	machines, err := c.parts.Maintenance.Machines(ctx)
	if err != nil {
		c.parts.OnError("machines", err)
		return
	}
	c.post(func() { c.maintainer.SetMachines(machines, asked) })
}

// maintain lets the maintainer decide and moves what it decided on.
func (c *Controller) maintain(now time.Time) {
	if c.parts.Maintenance == nil || c.retiring {
		return
	}
	changes := c.maintainer.Plan(c.core, now)
	c.core.SetCordoned(changes.Cordoned, changes.Drain)
	for _, e := range changes.Events {
		c.parts.OnDecision(scheduler.Event{
			Kind: e.Kind, Worker: e.Worker, Detail: fmt.Sprintf("wave %d, machine %s %s", e.Wave, e.Machine, e.Detail),
		})
	}
	for _, record := range changes.Records {
		c.next.upkeeps[record.Number] = record
	}
	c.next.upkeepOrders = append(c.next.upkeepOrders, changes.Orders...)
	for _, report := range changes.Reports {
		c.tasks.Go(func() { c.reportWave(report) })
	}
}

// order sends one order for maintenance and passes the result on.
func (c *Controller) order(o maintainer.Order) {
	ctx, cancel := context.WithTimeout(c.ctx, maintainTimeout)
	defer cancel()
	err := c.parts.Maintenance.Maintain(ctx, primrosespar.MaintenanceOrder{
		Machine: o.Machine, Wave: o.Wave, Holder: c.parts.Host, Token: c.token,
	})
	code := primrosespar.CodeOK
	if err != nil {
		code = primrosespar.CodeOf(err)
		c.parts.OnError("upkeep", err)
	}
	c.post(func() {
		c.maintainer.Ordered(o, code, c.parts.Clock.Now())
		c.takeRefusal("", code)
	})
}

// reportWave tells the operator how far a wave is.
func (c *Controller) reportWave(r maintainer.Report) {
	ctx, cancel := context.WithTimeout(c.ctx, maintainTimeout)
	defer cancel()
	err := c.parts.Maintenance.ReportWave(ctx, r.Wave, r.Completed)
	if err != nil {
		c.parts.OnError("upkeep report", err)
	}
	c.post(func() {
		if record, changed := c.maintainer.Reported(r, err == nil, c.parts.Clock.Now()); changed {
			c.next.upkeeps[record.Number] = record
		}
		c.maintaining.Store(c.maintainer.Active())
	})
}

// loadUpkeep reads the waves of earlier holders.
func (c *Controller) loadUpkeep(ctx context.Context) error {
	if c.parts.Maintenance == nil {
		return nil
	}
	rows, err := c.scan(ctx, primrosespar.WavePrefix())
	if err != nil {
		return err
	}
	now := c.parts.Clock.Now()
	for _, row := range rows {
		w, err := c.encoder.ParseWave(row.Value)
		if err != nil {
			c.parts.OnError("load", eris.Wrap(err, row.Key))
			continue
		}
		c.maintainer.Restore(maintainer.Record{
			Number: w.Number, Started: w.Started, Finished: w.Finished, Completed: w.Completed,
			End: now.Add(time.UnixMilli(w.End).Sub(c.parts.WallClock(now))),
		})
	}
	return nil
}

// upkeepWrite returns the row of a wave.
func (c *Controller) upkeepWrite(r maintainer.Record) (primrosespar.Write, error) {
	now := c.parts.Clock.Now()
	value, err := c.encoder.Wave(encoder.Wave{
		Number: r.Number, Started: r.Started, Finished: r.Finished, Completed: r.Completed,
		End: c.parts.WallClock(now).Add(r.End.Sub(now)).UnixMilli(),
	})
	return primrosespar.Write{Key: primrosespar.WaveKey(r.Number), Value: value}, err
}
