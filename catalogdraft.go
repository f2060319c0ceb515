package primrosespar

import "time"

// CatalogDraft is a configuration as it was written, before unusable values are
// dropped and doubled entries are merged.
type CatalogDraft struct {
	Version  Version
	Queues   []QueueTerms
	Services []Service
	Accounts []AccountDraft
	Limits   LimitsDraft
	// LongestSpec is the length of the longest legal text of a job in bytes.
	LongestSpec int64
}

// AccountDraft is a client account of a draft.
type AccountDraft struct {
	Account  Account
	Keys     []string
	Reserved int
	Regions  []Region
}

// LimitsDraft are the limits of calls of a draft. A limit that is missing is
// nil.
type LimitsDraft struct {
	HeadBytes   *int64
	BodyBytes   *int64
	HeadTimeout *time.Duration
	IdleTimeout *time.Duration
}

// Severity says how bad a finding is.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	SeverityNote    Severity = "note"
	// SeverityChange marks a difference from another version.
	SeverityChange Severity = "change"
)

// Finding is a statement about one entry of a configuration. It holds no key.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     string   `json:"kind"`
	Entry    string   `json:"entry"`
	Text     string   `json:"text"`
}
