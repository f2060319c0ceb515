package printer

import (
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Fleet writes the state of the fleet as a host sees it.
func (p *Printer) Fleet(a primrosespar.FleetStatus) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "HOST", "READY", "HOLDER", "TOKEN", "CATALOG", "AGE")
		writeRow(w, a.Host, a.Ready, a.Holder, a.Token, a.CatalogVersion, a.CatalogAge.Round(time.Millisecond))
		s := a.State
		if s == nil {
			return
		}
		writeRow(w)
		writeRow(w, "WORKERS", "SILENT", "QUARANTINED", "LEAVING", "ACCELERATORS", "FREE", "JOBS", "TASKS")
		writeRow(w, s.Workers, s.Silent, s.Quarantined, s.Leaving, s.Accelerators, s.Free, s.Jobs, s.Tasks)
		writeRow(w)
		writeRow(w, "QUEUE", "WAITING")
		for _, queue := range slices.Sorted(maps.Keys(s.Waiting)) {
			writeRow(w, queue, s.Waiting[queue])
		}
		writeRow(w)
		writeRow(w, "GUARANTEE OF", "ACCELERATORS", "IN USE")
		for _, g := range s.Guarantees {
			writeRow(w, g.Account, g.Reserved, g.InUse)
		}
		writeRow(w)
		writeRow(w, "WORK LOST", "RUNS", "CORE-SECONDS")
		for _, loss := range s.Losses {
			writeRow(w, loss.Cause, loss.Runs, math.Round(loss.CoreSeconds))
		}
		if len(s.Evacuations) > 0 {
			writeRow(w)
			writeRow(w, "PLACE EMPTIED", "OWN REQUEST", "SINCE", "RUNS LEFT")
		}
		for _, e := range s.Evacuations {
			writeRow(w, e.Place, e.Own, e.RequestedAt.UTC().Format(time.RFC3339), e.Runs)
		}
	})
}

// FleetJob writes the state of a job of the fleet and of its steps.
func (p *Printer) FleetJob(a primrosespar.JobView) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "JOB", "STATE", "QUEUE", "PRIORITY", "ACCOUNT", "ARRIVED")
		writeRow(w, a.Job, a.State, a.Queue, a.Priority, a.Account, a.Arrived.UTC().Format(time.RFC3339))
		if !a.Due.IsZero() {
			writeRow(w)
			writeRow(w, "NEXT DUE")
			writeRow(w, a.Due.UTC().Format(time.RFC3339))
		}
		writeRow(w)
		writeRow(w, "OCCURRENCE", "STEP", "TASKS", "DONE", "RUNNING", "FAILED RUNS", "CRASHES", "ORDER", "WAITS")
		for _, s := range a.Steps {
			writeRow(w, s.Occurrence, s.Step, s.Tasks, s.Done, s.Running, s.FailedRuns, s.Crashes, s.Order, s.Reason)
		}
	})
}

// Evacuation writes an evacuation that was requested or taken back.
func (p *Printer) Evacuation(a primrosespar.Evacuation) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "PLACE", "SINCE")
		since := "taken back"
		if !a.RequestedAt.IsZero() {
			since = a.RequestedAt.UTC().Format(time.RFC3339)
		}
		writeRow(w, a.Place, since)
	})
}
