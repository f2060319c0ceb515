package primrosespar

import "time"

// Placement gives a job its accelerators.
type Placement struct {
	Job    JobID
	Slices []Slice
	// Bindings are the guaranteed blocks that a claim draws on.
	Bindings []Binding
	Borrowed bool
	Reason   Code
	Figures  []Figure
}

// Preemption stops a borrowing gang for the good of another job.
type Preemption struct {
	Victim JobID
	For    JobID
	Reason Code
	// LostWork is the run time that the victim is expected to lose.
	LostWork time.Duration
}

// Wait says why a job was not placed; it is given when the reason changes.
type Wait struct {
	Job     JobID
	Reason  Code
	Figures []Figure
}

// Plan is one batch of decisions.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Waits       []Wait
}

// GuaranteeState is how one guarantee stands in the place.
type GuaranteeState struct {
	Account   Account `json:"account"`
	Block     int     `json:"block"`
	Count     int     `json:"count"`
	Claimed   int     `json:"claimed"`
	Claimable int     `json:"claimable"`
}

// PlaceState summarises the accelerators of one place.
type PlaceState struct {
	Accelerators int              `json:"accelerators"`
	Free         int              `json:"free"`
	Borrowed     int              `json:"borrowed"`
	LargestBlock int              `json:"largest_block"`
	Queued       int              `json:"queued"`
	Running      int              `json:"running"`
	Quarantined  int              `json:"quarantined"`
	Guarantees   []GuaranteeState `json:"guarantees"`
}

// Planner decides where the gangs of one place run. It does no input or
// output and is not safe for concurrent use.
type Planner interface {
	// SetWorkers takes new or changed workers; a worker that is not alive, is
	// leaving or is quarantined gets no new work.
	SetWorkers(entries []WorkerEntry)
	// SetQuarantined stops or resumes new work on the worker.
	SetQuarantined(worker Worker, quarantined bool)
	// SetContracts takes the contracts in force.
	SetContracts(view ContractView)
	// Add queues a job. It returns a Failure for a job that can never run.
	Add(job Job, now time.Time) error
	// Restore takes over a gang that was committed before a change of holder.
	Restore(gang Gang, now time.Time)
	// Requeue frees the accelerators of a placed job and queues it again.
	Requeue(id JobID, now time.Time)
	// Remove forgets a job that ended or was cancelled and frees what it had.
	Remove(id JobID, outcome GangState, now time.Time)
	// Plan decides on everything that changed since the last call. Placements
	// are reserved at once. Accelerators of an evicted gang stay taken until
	// Requeue or Remove says that it has stopped.
	Plan(now time.Time) Plan
	// State summarises the place.
	State() PlaceState
}
