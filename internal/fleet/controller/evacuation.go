package controller

import (
	"context"
	"fmt"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/evacuator"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// WithEvacuationBound sets how long after an operator's request that a place is
// emptied a start may still reach its workers; 0 means that there are no such
// requests.
func WithEvacuationBound(bound time.Duration) Option {
	return func(o *Options) { o.EvacuationBound = bound }
}

// startEvacuations starts the goroutine that reads the requests of evacuations
// until the context ends. A read does not wait for the one before, so that a
// single answer that is lost or late does not hold up the starts.
func (c *Controller) startEvacuations(ctx context.Context) {
	if c.evacuator == nil {
		return
	}
	c.goTask("read of the evacuations", func() {
		c.runPeriodically(ctx, c.evacuator.ReadInterval(), func(ctx context.Context) {
			c.goTask("read of the evacuations", func() { c.readEvacuations(ctx) })
		})
	})
}

// readEvacuations reads the requests. An answer that comes later than MaxAge
// permits no start.
func (c *Controller) readEvacuations(ctx context.Context) {
	requestedAt := c.instant()
	ctx, cancel := context.WithTimeout(ctx, c.evacuator.MaxAge())
	defer cancel()
	evacuations, err := c.parts.Evacuations.Evacuations(ctx)
	if err != nil {
		c.parts.OnError("evacuations", err)
		return
	}
	c.parts.OnStoreAnswer()
	changes := c.evacuator.Set(evacuations, requestedAt)
	if len(changes) > 0 {
		c.enqueue(func() { c.logEvacuations(changes) })
	}
}

// logEvacuations logs which places are to be emptied and which no longer are.
func (c *Controller) logEvacuations(changes []evacuator.Change) {
	for _, change := range changes {
		kind := "place_restored"
		if change.Begun {
			kind = "place_evacuated"
		}
		c.parts.OnDecision(scheduler.Event{
			Kind: kind, Detail: fmt.Sprintf("place %s, own request %t, version %d", change.Evacuation.Place, change.Evacuation.Own, change.Evacuation.Version),
		})
	}
}

// instant returns the present moment.
func (c *Controller) instant() primrosespar.Instant {
	now := primrosespar.Instant{At: c.parts.Clock.Now()}
	if c.parts.Stopwatch != nil {
		now.Elapsed = c.parts.Stopwatch.Elapsed()
	}
	return now
}

// checkStart returns why no start order may leave now, or nil. The next holder
// assumes that none left later than StartTime after the last confirmed commit.
func (c *Controller) checkStart() error {
	if age := c.parts.Committer.Unconfirmed(); age > lessor.StartTime {
		return primrosespar.Fail(primrosespar.CodeWorkerLate, "the last commit was confirmed %v ago, more than %v",
			age.Round(time.Millisecond), lessor.StartTime)
	}
	return c.evacuator.CheckStart(c.instant())
}

// checkStartAt is checkStart for a worker of the place.
func (c *Controller) checkStartAt(place primrosespar.Place) error {
	if err := c.checkStart(); err != nil {
		return err
	}
	return c.evacuator.CheckStartAt(place, c.instant())
}

// logWithheld logs when starts begin to be withheld and when they leave again.
func (c *Controller) logWithheld() {
	err := c.checkStart()
	if withheld := err != nil; withheld != c.startsWithheld {
		c.startsWithheld = withheld
		event := scheduler.Event{Kind: "starts_allowed"}
		if withheld {
			event = scheduler.Event{Kind: "starts_withheld", Detail: err.Error()}
		}
		c.parts.OnDecision(event)
	}
}

// viewEvacuations returns the requests with the runs that are left.
func (c *Controller) viewEvacuations() []primrosespar.EvacuationView {
	var views []primrosespar.EvacuationView
	for _, evacuation := range c.evacuator.Evacuations() {
		views = append(views, primrosespar.EvacuationView{Evacuation: evacuation, Runs: c.scheduler.RunsAt(evacuation.Place)})
	}
	return views
}

// Evacuations returns the requests with the runs that were left at the last
// tick.
func (c *Controller) Evacuations() []primrosespar.EvacuationView {
	if views := c.evacuations.Load(); views != nil {
		return *views
	}
	return nil
}
