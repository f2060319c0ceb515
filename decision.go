package primrosespar

import "time"

// DecisionKind says what was decided.
type DecisionKind string

// Decision kinds.
const (
	DecisionAdmission  DecisionKind = "admission"
	DecisionRefusal    DecisionKind = "refusal"
	DecisionAttempt    DecisionKind = "attempt"
	DecisionRetry      DecisionKind = "retry"
	DecisionOutcome    DecisionKind = "outcome"
	DecisionPlacement  DecisionKind = "placement"
	DecisionPreemption DecisionKind = "preemption"
	DecisionGang       DecisionKind = "gang"
	DecisionQuarantine DecisionKind = "quarantine"
	DecisionEjection   DecisionKind = "ejection"
	DecisionContract   DecisionKind = "contract"
	DecisionLease      DecisionKind = "lease"
	DecisionLoss       DecisionKind = "record_loss"
)

// Figure is one number that decided.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Decision is one record of what the system decided and why.
type Decision struct {
	// At is the wall clock of the host, for reports; order within a host is
	// given by Sequence.
	At       time.Time    `json:"at"`
	Place    Place        `json:"place"`
	Host     Host         `json:"host"`
	Sequence uint64       `json:"sequence"`
	Kind     DecisionKind `json:"kind"`
	Code     Code         `json:"code"`
	// Subject is the request, job, worker, upstream or contract decided on.
	Subject         string   `json:"subject"`
	Account         Account  `json:"account,omitempty"`
	Class           Class    `json:"class,omitempty"`
	ContractVersion Version  `json:"contract_version,omitempty"`
	Detail          string   `json:"detail,omitempty"`
	Figures         []Figure `json:"figures,omitempty"`
}

// Recorder takes decision records; it never blocks the caller.
type Recorder interface {
	// Record adds the decision.
	Record(d Decision)
}
