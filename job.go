package primrosespar

import "time"

// Shape is what a gang needs: Members tasks with Block adjacent accelerators
// each. With OneRack all members are adjacent to each other in one rack.
type Shape struct {
	Members int  `json:"members"`
	Block   int  `json:"block"`
	OneRack bool `json:"one_rack,omitempty"`
	// Cores and MemoryBytes are the caller's estimate per member, which may be
	// wrong.
	Cores       int   `json:"cores,omitempty"`
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
}

// Accelerators returns the number of accelerators of the whole gang.
func (s Shape) Accelerators() int {
	return s.Members * s.Block
}

// Job is one submitted gang job.
type Job struct {
	ID      JobID   `json:"id"`
	Account Account `json:"account"`
	Class   Class   `json:"class"`
	Place   Place   `json:"place"`
	Shape   Shape   `json:"shape"`
	// Claim uses the account's guarantee and preempts borrowed work.
	Claim bool `json:"claim,omitempty"`
	// Preemptible jobs may run on borrowed capacity.
	Preemptible bool `json:"preemptible,omitempty"`
	// Idempotent jobs are requeued after a member was lost or failed.
	Idempotent bool `json:"idempotent,omitempty"`
	// Declared is the caller's estimate of the run time, which may be wrong.
	Declared time.Duration `json:"declared"`
	// Deadline is the time after submission within which the job should end.
	Deadline time.Duration `json:"deadline"`
	// Submitted is the submission time on the wall clock of the host that
	// accepted the job, for display and reports only.
	Submitted time.Time `json:"submitted"`
	// ContractVersion is the version of the contract under which the job was
	// admitted.
	ContractVersion Version `json:"contract_version"`
	Payload         []byte  `json:"work,omitempty"`
}

// GangState is the state of a gang as committed to the table.
type GangState string

// Gang states. No member does any work before GangRunning is committed.
const (
	GangQueued    GangState = "queued"
	GangReserved  GangState = "reserved"
	GangHeld      GangState = "held"
	GangRunning   GangState = "running"
	GangStopping  GangState = "stopping"
	GangDone      GangState = "done"
	GangFailed    GangState = "failed"
	GangCancelled GangState = "cancelled"
)

// Ended reports whether the gang will never run again.
func (s GangState) Ended() bool {
	return s == GangDone || s == GangFailed || s == GangCancelled
}

// Slice is a range of adjacent accelerators on one worker that one member uses.
// A member whose block spans several workers has one slice on each of them.
type Slice struct {
	Worker Worker `json:"worker"`
	Member int    `json:"member"`
	First  int    `json:"first"`
	Count  int    `json:"count"`
}

// Binding assigns units of a claim to one guaranteed block of the account.
type Binding struct {
	// Block is the number of accelerators of the guaranteed block.
	Block int `json:"block"`
	// Units is the number of the claim's units that lie in the block.
	Units int `json:"units"`
	// Cells are the accelerators of the block, in rack order.
	Cells []Slice `json:"cells"`
}

// Gang is the committed state of one job's gang.
type Gang struct {
	Job     Job       `json:"job"`
	State   GangState `json:"state"`
	Attempt uint64    `json:"attempt"`
	// Slices are the accelerators that are reserved for the current attempt.
	Slices []Slice `json:"slices,omitempty"`
	// Bindings are the guaranteed blocks that a claim uses. A row written by an
	// earlier version has none.
	Bindings []Binding `json:"bindings,omitempty"`
	// Borrowed gangs run on capacity that a guarantee may reclaim.
	Borrowed bool `json:"borrowed,omitempty"`
	// Reason is why the gang entered its state.
	Reason Code `json:"reason"`
	// NextState is the state that follows GangStopping.
	NextState GangState `json:"then,omitempty"`
	// Preemptions counts how often the gang was preempted.
	Preemptions int `json:"preemptions,omitempty"`
	// Failures counts the attempts that ended with a failed or lost member.
	Failures int `json:"failures,omitempty"`
}
