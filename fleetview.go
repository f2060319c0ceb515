package primrosespar

import (
	"context"
	"time"
)

// FleetStatus is what one host knows of the fleet. State is set at the holder
// of the fleet lease alone.
type FleetStatus struct {
	Host   Host `json:"host"`
	Ready  bool `json:"ready"`
	Holder Host `json:"holder"`
	// Token is that of the holder.
	Token          Token         `json:"token"`
	CatalogVersion Version       `json:"catalog_version"`
	CatalogAge     time.Duration `json:"catalog_age"`
	State          *FleetState   `json:"state,omitempty"`
}

// FleetState is what the holder schedules.
type FleetState struct {
	// Workers announce themselves; the others are those of them that do not
	// answer, that get no work for a while, and that are about to go.
	Workers     int `json:"workers"`
	Silent      int `json:"silent"`
	Quarantined int `json:"quarantined"`
	Leaving     int `json:"leaving"`
	// Accelerators are those of all workers, Free those without a task.
	Accelerators int              `json:"accelerators"`
	Free         int              `json:"free"`
	Jobs         int              `json:"jobs"`
	Tasks        int              `json:"tasks"`
	Waiting      map[Queue]int    `json:"waiting,omitempty"`
	Guarantees   []FleetGuarantee `json:"guarantees,omitempty"`
}

// FleetGuarantee is what urgent work of an account uses of its guarantee.
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
	// Due is when the next occurrence of a repeated job is due.
	Due   time.Time  `json:"due,omitzero"`
	Steps []StepView `json:"steps"`
}

// StepView is one step of an occurrence. FailedRuns are those of the task that
// failed most often.
type StepView struct {
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Tasks      int      `json:"tasks"`
	Done       int      `json:"done"`
	Running    int      `json:"running"`
	FailedRuns int      `json:"failed_runs"`
	Workers    []Worker `json:"workers,omitempty"`
	// Reason says what the first task without a worker waits for.
	Reason string `json:"reason,omitempty"`
}

// FleetViewer shows what a host knows of the fleet.
type FleetViewer interface {
	Status(ctx context.Context) FleetStatus
	// Explain fails with CodeNotHolder at a host that does not schedule, and
	// with CodeNotFound for a job that the holder does not know.
	Explain(ctx context.Context, id JobID) (JobView, error)
}
