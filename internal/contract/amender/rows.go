package amender

import (
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/parser"
)

// State says how far an amendment has come.
type State string

// States of an amendment. A pending one that a later amendment replaced
// before it was accepted is superseded.
const (
	StateAccepted   State = "accepted"
	StatePending    State = "pending"
	StateSuperseded State = "superseded"
)

// Head is the row that holds the newest revision.
type Head struct {
	Revision primrosespar.Revision `json:"revision"`
}

// Entry is the log row of one revision.
type Entry struct {
	Revision    primrosespar.Revision `json:"revision"`
	Account     primrosespar.Account  `json:"account"`
	Version     primrosespar.Version  `json:"version"`
	AmendmentID string                `json:"amendment_id"`
	State       State                 `json:"state"`
	Deleted     bool                  `json:"deleted,omitempty"`
	Document    string                `json:"document,omitempty"`
	// Previous is the revision of the account's entry before this one.
	Previous primrosespar.Revision `json:"previous"`
	Author   string                `json:"author,omitempty"`
	// At is the wall clock of the accepting host, for display only.
	At time.Time `json:"at"`
}

// Contract parses the document; a deleted contract is empty.
func (e *Entry) Contract() (primrosespar.Contract, error) {
	if e == nil || e.Deleted {
		return primrosespar.Contract{}, nil
	}
	return parser.Parse([]byte(e.Document))
}

// Record is the contract row of an account. It stays after a delete, so that
// versions never start again.
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

// Acknowledgement is the row in which a place acknowledges a revision.
type Acknowledgement struct {
	Revision primrosespar.Revision `json:"revision"`
}

// decodeRow reads a row value; a missing row gives the zero value.
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

// encodeWrite encodes a row. The row types of this package always encode.
func encodeWrite(key string, value any) primrosespar.Write {
	data, err := json.Marshal(value)
	if err != nil {
		panic("amender: row does not encode: " + err.Error())
	}
	return primrosespar.Write{Key: key, Value: data}
}
