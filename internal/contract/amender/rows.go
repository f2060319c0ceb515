package amender

import (
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/parser"
)

// State is the state of an amendment.
type State string

// States of an amendment. A pending amendment is superseded if a later one
// replaces it before it is accepted.
const (
	StateAccepted   State = "accepted"
	StatePending    State = "pending"
	StateSuperseded State = "superseded"
)

// Head is the value of the row that holds the newest revision.
type Head struct {
	Revision primrosespar.Revision `json:"revision"`
}

// Entry is the value of the log row of one revision.
type Entry struct {
	Revision    primrosespar.Revision `json:"revision"`
	Account     primrosespar.Account  `json:"account"`
	Version     primrosespar.Version  `json:"version"`
	AmendmentID string                `json:"amendment_id"`
	State       State                 `json:"state"`
	Deleted     bool                  `json:"deleted,omitempty"`
	Document    string                `json:"document,omitempty"`
	// Previous is the revision of the account's previous entry.
	Previous primrosespar.Revision `json:"previous"`
	Author   string                `json:"author,omitempty"`
	// At is the time on the wall clock of the host that received the amendment,
	// for display only.
	At time.Time `json:"at"`
}

// Contract returns the contract in the document, which is empty for a deleted
// contract and for a nil entry.
func (e *Entry) Contract() (primrosespar.Contract, error) {
	if e == nil || e.Deleted {
		return primrosespar.Contract{}, nil
	}
	return parser.Parse([]byte(e.Document))
}

// Record is the value of the contract row of an account. The row stays when the
// contract is deleted, so that versions never start from 0 again.
type Record struct {
	Account primrosespar.Account `json:"account"`
	// Revision is the account's newest revision, accepted or pending.
	Revision primrosespar.Revision `json:"revision"`
	Accepted *Entry                `json:"accepted,omitempty"`
	Pending  *Entry                `json:"pending,omitempty"`
}

// Latest returns the version that the next amendment has to name.
func (r Record) Latest() primrosespar.Version {
	switch {
	case r.Pending != nil:
		return r.Pending.Version
	case r.Accepted != nil:
		return r.Accepted.Version
	}
	return 0
}

// Acknowledgement is the value of the row in which a place acknowledges a
// revision.
type Acknowledgement struct {
	Revision primrosespar.Revision `json:"revision"`
}

// decodeRow decodes the value of a row. It returns the zero value for a missing
// row.
func decodeRow[T any](row primrosespar.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, primrosespar.Fail(primrosespar.CodeInternal, "row %s is malformed", row.Key).WithCause(err)
	}
	return value, nil
}

// encodeWrite returns a write of the encoded value. It panics if the value
// cannot be encoded, which the row types of this package always can.
func encodeWrite(key string, value any) primrosespar.Write {
	data, err := json.Marshal(value)
	if err != nil {
		panic("amender: cannot encode row: " + err.Error())
	}
	return primrosespar.Write{Key: key, Value: data}
}
