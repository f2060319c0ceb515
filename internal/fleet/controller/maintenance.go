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

// Intervals and timeouts of machine maintenance.
const (
	// waveInterval is the time between two reads of the requested waves; a wave
	// lasts tens of seconds.
	waveInterval = time.Second
	// machinesInterval is the time between two reads of the list of machines
	// while a wave is open: once a machine is up again, the next can be taken
	// down.
	machinesInterval = 300 * time.Millisecond
	// maintenanceTimeout bounds an order or a report to the provider of the
	// machines.
	maintenanceTimeout = time.Second
	// maxMaintenancePermission is how old the last confirmed commit may be for a
	// maintenance order to leave. The provider need not compare tokens, so a
	// later holder waits as long before it repeats an order.
	maxMaintenancePermission = time.Second
)

// startMaintenance starts the goroutines that read waves and machines until the
// context ends.
func (c *Controller) startMaintenance(ctx context.Context) {
	if c.parts.Maintenance == nil {
		return
	}
	c.goTask("read of the waves", func() { c.runPeriodically(ctx, waveInterval, c.readWaves) })
	c.goTask("read of the machines", func() { c.runPeriodically(ctx, machinesInterval, c.readMachines) })
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
	c.enqueue(func() {
		c.maintainer.SetWaves(waves, c.parts.Clock.Now())
		c.maintenanceActive.Store(c.maintainer.Active())
	})
}

// readMachines reads the list of machines if a wave is open.
func (c *Controller) readMachines(ctx context.Context) {
	if !c.maintenanceActive.Load() {
		return
	}
	requestedAt := c.parts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := c.parts.Maintenance.Machines(ctx)
	if err != nil {
		c.parts.OnError("machines", err)
		return
	}
	c.enqueue(func() { c.maintainer.SetMachines(list, requestedAt) })
}

// planMaintenance runs the maintainer, passes cordoned workers to the scheduler
// and adds orders and records to the next commit.
func (c *Controller) planMaintenance(now time.Time) {
	if c.parts.Maintenance == nil || c.ending {
		return
	}
	changes := c.maintainer.Plan(c.scheduler, now)
	c.scheduler.SetCordoned(changes.Cordoned, changes.Cleared)
	for _, e := range changes.Events {
		c.parts.OnDecision(scheduler.Event{
			Kind: e.Kind, Worker: e.Worker, Detail: fmt.Sprintf("wave %d, machine %s %s", e.Wave, e.Machine, e.Detail),
		})
	}
	for _, record := range changes.Records {
		c.next.waves[record.Number] = record
	}
	c.next.maintenanceOrders = append(c.next.maintenanceOrders, changes.Orders...)
	for _, report := range changes.Reports {
		c.goTask("maintenance report", func() { c.reportWave(report) })
	}
}

// sendMaintenanceOrder sends one maintenance order and passes the result to the
// maintainer.
func (c *Controller) sendMaintenanceOrder(order maintainer.Order) {
	if age := c.parts.Committer.Unconfirmed(); age > maxMaintenancePermission {
		c.enqueue(func() {
			c.parts.OnDecision(scheduler.Event{Kind: "upkeep_withheld", Detail: fmt.Sprintf(
				"wave %d, machine %s: last commit confirmed %v ago", order.Wave, order.Machine, age.Round(time.Millisecond))})
			c.maintainer.Withhold(order, c.parts.Clock.Now())
		})
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, maintenanceTimeout)
	defer cancel()
	err := c.parts.Maintenance.Maintain(ctx, primrosespar.MaintenanceOrder{
		Machine: order.Machine, Wave: order.Wave, Holder: c.parts.Host, Token: c.token,
	})
	code := primrosespar.CodeOK
	if err != nil {
		code = primrosespar.CodeOf(err)
		c.parts.OnError("upkeep", err)
	}
	c.enqueue(func() {
		c.maintainer.HandleOrderResult(order, code, c.parts.Clock.Now())
		c.handleRefusal("", code)
	})
}

// reportWave reports the start or completion of a wave to the operator.
func (c *Controller) reportWave(report maintainer.Report) {
	ctx, cancel := context.WithTimeout(c.ctx, maintenanceTimeout)
	defer cancel()
	err := c.parts.Maintenance.ReportWave(ctx, report.Wave, report.Completed)
	if err != nil {
		c.parts.OnError("upkeep report", err)
	}
	c.enqueue(func() {
		if record, changed := c.maintainer.HandleReportResult(report, err == nil, c.parts.Clock.Now()); changed {
			c.next.waves[record.Number] = record
		}
		c.maintenanceActive.Store(c.maintainer.Active())
	})
}

// loadWaves restores the waves of earlier holders.
func (c *Controller) loadWaves(ctx context.Context) error {
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
			Deadline: now.Add(time.UnixMilli(w.End).Sub(c.parts.WallClock(now))),
		})
	}
	return nil
}

// encodeWave returns the write that stores a wave. Its end is stored as
// wall-clock time.
func (c *Controller) encodeWave(record maintainer.Record) (primrosespar.Write, error) {
	now := c.parts.Clock.Now()
	value, err := c.encoder.Wave(encoder.Wave{
		Number: record.Number, Started: record.Started, Finished: record.Finished, Completed: record.Completed,
		End: c.parts.WallClock(now).Add(record.Deadline.Sub(now)).UnixMilli(),
	})
	return primrosespar.Write{Key: primrosespar.WaveKey(record.Number), Value: value}, err
}
