package primrosespar

import "time"

// DecisionKind is the kind of a decision.
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

// Figure is one number on which a decision was based.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Decision is a record of one decision of the system and its reason.
type Decision struct {
	// At is the time on the host's wall clock, for reports. Sequence gives the
	// order of the decisions of one host.
	At       time.Time    `json:"at"`
	Place    Place        `json:"place"`
	Host     Host         `json:"host"`
	Sequence uint64       `json:"sequence"`
	Kind     DecisionKind `json:"kind"`
	Code     Code         `json:"code"`
	// Subject is the request, job, worker, upstream or contract that the
	// decision is about.
	Subject         string   `json:"subject"`
	Account         Account  `json:"account,omitempty"`
	Class           Class    `json:"class,omitempty"`
	ContractVersion Version  `json:"contract_version,omitempty"`
	Detail          string   `json:"detail,omitempty"`
	Figures         []Figure `json:"figures,omitempty"`
}

// Recorder stores decisions. It never blocks the caller.
type Recorder interface {
	// Record stores the decision.
	Record(d Decision)
}
