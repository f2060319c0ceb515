package printer

import (
	"io"
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Fleet writes what a host knows of the fleet.
func (p *Printer) Fleet(a primrosespar.FleetStatus) error {
	return p.print(a, func(w io.Writer) {
		line(w, "HOST", "READY", "HOLDER", "TOKEN", "CATALOG", "AGE")
		line(w, a.Host, a.Ready, a.Holder, a.Token, a.CatalogVersion, a.CatalogAge.Round(time.Millisecond))
		s := a.State
		if s == nil {
			return
		}
		line(w)
		line(w, "WORKERS", "SILENT", "QUARANTINED", "LEAVING", "ACCELERATORS", "FREE", "JOBS", "TASKS")
		line(w, s.Workers, s.Silent, s.Quarantined, s.Leaving, s.Accelerators, s.Free, s.Jobs, s.Tasks)
		line(w)
		line(w, "QUEUE", "WAITING")
		for _, queue := range slices.Sorted(maps.Keys(s.Waiting)) {
			line(w, queue, s.Waiting[queue])
		}
		line(w)
		line(w, "GUARANTEE OF", "ACCELERATORS", "IN USE")
		for _, g := range s.Guarantees {
			line(w, g.Account, g.Reserved, g.InUse)
		}
	})
}

// FleetJob writes where a job stands.
func (p *Printer) FleetJob(a primrosespar.JobView) error {
	return p.print(a, func(w io.Writer) {
		line(w, "JOB", "STATE", "QUEUE", "PRIORITY", "ACCOUNT", "ARRIVED")
		line(w, a.Job, a.State, a.Queue, a.Priority, a.Account, a.Arrived.UTC().Format(time.RFC3339))
		if !a.Due.IsZero() {
			line(w)
			line(w, "NEXT DUE")
			line(w, a.Due.UTC().Format(time.RFC3339))
		}
		line(w)
		line(w, "OCCURRENCE", "STEP", "TASKS", "DONE", "RUNNING", "FAILED RUNS", "WAITS")
		for _, s := range a.Steps {
			line(w, s.Occurrence, s.Step, s.Tasks, s.Done, s.Running, s.FailedRuns, s.Reason)
		}
	})
}
