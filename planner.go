package primrosespar

import "time"

// Placement assigns accelerators to a job.
type Placement struct {
	Job    JobID
	Slices []Slice
	// Bindings are the guaranteed blocks that a claim uses.
	Bindings []Binding
	Borrowed bool
	Reason   Code
	Figures  []Figure
}

// Preemption stops the gang Victim, which runs on borrowed capacity, to make
// room for the job For.
type Preemption struct {
	Victim JobID
	For    JobID
	Reason Code
	// LostWork is the run time that the victim is estimated to lose.
	LostWork time.Duration
}

// Wait says why a job was not placed. A plan contains it only when the reason
// has changed.
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

// GuaranteeState is the state of one guarantee in a place: Claimed of the Count
// blocks are in use and Claimable can be claimed now.
type GuaranteeState struct {
	Account   Account `json:"account"`
	Block     int     `json:"block"`
	Count     int     `json:"count"`
	Claimed   int     `json:"claimed"`
	Claimable int     `json:"claimable"`
}

// PlaceState summarises the accelerators and jobs of one place.
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

// Planner decides where the gangs of one place run. It does no I/O and is not
// safe for concurrent use.
type Planner interface {
	// SetWorkers adds or updates workers. A worker that is not alive, is
	// leaving or is quarantined gets no new work.
	SetWorkers(entries []WorkerEntry)
	// SetQuarantined sets whether the worker is quarantined.
	SetQuarantined(worker Worker, quarantined bool)
	// SetContracts sets the contracts in force.
	SetContracts(view ContractView)
	// Add queues a job. It returns a Failure if the job can never run.
	Add(job Job, now time.Time) error
	// Restore adds a gang that an earlier holder committed.
	Restore(gang Gang, now time.Time)
	// Requeue frees the accelerators of a placed job and queues the job again.
	Requeue(id JobID, now time.Time)
	// Remove removes a job that ended or was cancelled and frees its
	// accelerators.
	Remove(id JobID, outcome GangState, now time.Time)
	// Plan decides what to do about all changes since the last call. The
	// accelerators of placements are reserved immediately. Those of a preempted
	// gang stay reserved until Requeue or Remove reports that it has stopped.
	Plan(now time.Time) Plan
	// State returns a summary of the place.
	State() PlaceState
}
