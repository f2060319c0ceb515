package primrosespar

import (
	"context"
	"time"
)

// FleetStatus is what one host knows about the fleet. State is only set at the
// holder of the fleet lease.
type FleetStatus struct {
	Host   Host `json:"host"`
	Ready  bool `json:"ready"`
	Holder Host `json:"holder"`
	// Token is the fencing token of the holder.
	Token          Token         `json:"token"`
	CatalogVersion Version       `json:"catalog_version"`
	CatalogAge     time.Duration `json:"catalog_age"`
	State          *FleetState   `json:"state,omitempty"`
}

// FleetState summarises the workers and jobs that the holder schedules.
type FleetState struct {
	// Workers is the number of announced workers. Of these, Silent do not
	// respond, Quarantined temporarily get no work and Leaving are about to
	// leave.
	Workers     int `json:"workers"`
	Silent      int `json:"silent"`
	Quarantined int `json:"quarantined"`
	Leaving     int `json:"leaving"`
	// Accelerators is the number of accelerators of all workers, Free that of
	// the ones without a task.
	Accelerators int              `json:"accelerators"`
	Free         int              `json:"free"`
	Jobs         int              `json:"jobs"`
	Tasks        int              `json:"tasks"`
	Waiting      map[Queue]int    `json:"waiting,omitempty"`
	Guarantees   []FleetGuarantee `json:"guarantees,omitempty"`
	// Evacuations are the places that are emptied.
	Evacuations []EvacuationView `json:"evacuations,omitempty"`
	// Losses is the work that this host has seen lost as holder since it
	// started, by cause.
	Losses []FleetLoss `json:"losses,omitempty"`
}

// FleetGuarantee says how much of an account's guarantee its urgent work uses.
type FleetGuarantee struct {
	Account  Account `json:"account"`
	Reserved int     `json:"reserved"`
	InUse    int     `json:"in_use"`
}

// JobView is a submitted job as the holder sees it.
type JobView struct {
	Job      JobID     `json:"job"`
	Queue    Queue     `json:"queue"`
	Account  Account   `json:"account"`
	State    JobState  `json:"state"`
	Priority int       `json:"priority"`
	Arrived  time.Time `json:"arrived"`
	// Due is the time of the next occurrence of a repeated job.
	Due   time.Time  `json:"due,omitzero"`
	Steps []StepView `json:"steps"`
}

// StepView is one step of one occurrence of a job. FailedRuns is the highest
// number of failed runs of any of its tasks.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Done       int `json:"done"`
	Running    int `json:"running"`
	FailedRuns int `json:"failed_runs"`
	// Crashes is the highest number of workers that crashed under one task.
	Crashes int      `json:"crashes"`
	Workers []Worker `json:"workers,omitempty"`
	// Reason says why the first waiting task is not placed.
	Reason string `json:"reason,omitempty"`
	// Order is the place of the waiting tasks among all that wait, and how long
	// they can wait.
	Order string `json:"order,omitempty"`
}

// FleetViewer returns what a host knows about the fleet.
type FleetViewer interface {
	Status(ctx context.Context) FleetStatus
	// Explain describes a job. It fails with CodeNotHolder at a host that does
	// not hold the fleet lease, and with CodeNotFound for a job that the holder
	// does not know.
	Explain(ctx context.Context, id JobID) (JobView, error)
}
