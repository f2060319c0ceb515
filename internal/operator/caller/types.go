package caller

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/checker"
	"primrosespar.example/primrosespar/internal/document/decoder"
)

// HTTP headers of the API of an entry host.
const (
	HeaderAccount    = "X-Account"
	HeaderRequestKey = "X-Request-Key"
	// HeaderFirstAttempt is "1" if no earlier request with the key can have
	// run: the key is new, or every earlier response said that the request did
	// not run.
	HeaderFirstAttempt = "X-First-Attempt"
	HeaderRequestID    = "X-Request-Id"
	HeaderResultCode   = "X-Result-Code"
	HeaderDeadline     = "X-Deadline-Ms"
	HeaderIfMatch      = "If-Match"
	HeaderAmendmentID  = "X-Amendment-Id"
	// HeaderResent is "1" if the amendment is a retry.
	HeaderResent = "X-Resent"
)

// Content types of the API of an entry host.
const (
	TypeJSON = "application/json"
	TypeTOML = "application/toml"
)

// Duration is a time.Duration that is encoded as text such as "1h30m0s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Refusal is the body of every response that is not a success.
type Refusal struct {
	Code      primrosespar.Code      `json:"code"`
	Name      string                 `json:"name"`
	Message   string                 `json:"message"`
	Ran       primrosespar.Ran       `json:"ran"`
	RequestID primrosespar.RequestID `json:"request_id"`
	// FieldErrors holds the errors in a contract document.
	FieldErrors []decoder.FieldError `json:"faults,omitempty"`
}

// ContractAnswer is the response to GET, PUT and DELETE /v1/contracts/:account.
type ContractAnswer struct {
	Account  primrosespar.Account  `json:"account"`
	Code     primrosespar.Code     `json:"code"`
	Version  primrosespar.Version  `json:"version"`
	Revision primrosespar.Revision `json:"revision"`
	State    amender.State         `json:"state"`
	Deleted  bool                  `json:"deleted,omitempty"`
	Document string                `json:"document,omitempty"`
	// Pending is the amendment that is not in force yet, because places have
	// still to acknowledge it.
	Pending *amender.Entry          `json:"pending,omitempty"`
	Places  []amender.PlaceProgress `json:"places,omitempty"`
}

// HistoryAnswer is the response to GET /v1/contracts/:account/history. The
// newest entry comes first.
type HistoryAnswer struct {
	Entries []amender.Entry `json:"entries"`
}

// CheckAnswer is the response to POST /v1/contracts/check.
type CheckAnswer struct {
	Code        primrosespar.Code    `json:"code"`
	FieldErrors []decoder.FieldError `json:"faults,omitempty"`
	Shortfalls  []checker.Shortfall  `json:"shortfalls,omitempty"`
	// LowersOffline is set if the document lowers offline terms. Such an
	// amendment stays pending until all places have acknowledged it.
	LowersOffline bool `json:"lowers_offline,omitempty"`
}

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Account  primrosespar.Account `json:"account"`
	Class    primrosespar.Class   `json:"class"`
	Place    primrosespar.Place   `json:"place"`
	Shape    primrosespar.Shape   `json:"shape"`
	Claim    bool                 `json:"claim,omitempty"`
	Declared Duration             `json:"declared"`
	Deadline Duration             `json:"deadline"`
	Payload  []byte               `json:"work,omitempty"`
}

// JobAnswer describes one job. It is the response to POST /v1/jobs and to GET
// and DELETE /v1/jobs/:id.
type JobAnswer struct {
	ID          primrosespar.JobID     `json:"id"`
	Account     primrosespar.Account   `json:"account"`
	Class       primrosespar.Class     `json:"class"`
	Place       primrosespar.Place     `json:"place"`
	Shape       primrosespar.Shape     `json:"shape"`
	State       primrosespar.GangState `json:"state"`
	Reason      primrosespar.Code      `json:"reason"`
	Attempt     uint64                 `json:"attempt"`
	Borrowed    bool                   `json:"borrowed,omitempty"`
	Claim       bool                   `json:"claim,omitempty"`
	Preemptions int                    `json:"preemptions,omitempty"`
	Submitted   time.Time              `json:"submitted"`
	Slices      []primrosespar.Slice   `json:"slices,omitempty"`
}

// JobsAnswer is the response to GET /v1/jobs.
type JobsAnswer struct {
	Jobs []JobAnswer `json:"jobs"`
}

// HostStatus describes one host of the place as the responding host sees it.
type HostStatus struct {
	Host     primrosespar.Host     `json:"host"`
	Alive    bool                  `json:"alive"`
	Draining bool                  `json:"draining,omitempty"`
	Revision primrosespar.Revision `json:"revision"`
}

// UpstreamStatus describes one upstream as the responding host sees it.
type UpstreamStatus struct {
	Upstream primrosespar.Upstream `json:"upstream"`
	Slots    int                   `json:"slots"`
	Used     int                   `json:"used"`
	Leaving  bool                  `json:"leaving,omitempty"`
	Ejected  bool                  `json:"ejected,omitempty"`
}

// StatusAnswer is the response to GET /v1/status.
type StatusAnswer struct {
	Host       primrosespar.Host        `json:"host"`
	Place      primrosespar.Place       `json:"place"`
	Version    string                   `json:"version"`
	Revision   primrosespar.Revision    `json:"revision"`
	ViewAge    Duration                 `json:"view_age"`
	Restricted bool                     `json:"restricted"`
	Draining   bool                     `json:"draining"`
	Holder     primrosespar.Host        `json:"holder"`
	State      *primrosespar.PlaceState `json:"state,omitempty"`
	Hosts      []HostStatus             `json:"hosts"`
	Upstreams  []UpstreamStatus         `json:"upstreams"`
}

// ExplainAnswer is the response to GET /v1/explain/:id.
type ExplainAnswer struct {
	ID          string                  `json:"id"`
	Decisions   []primrosespar.Decision `json:"decisions"`
	Explanation string                  `json:"story"`
}

// IncidentAnswer is the response to GET /v1/incidents.
type IncidentAnswer struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Markdown string    `json:"markdown"`
}

// QueryTime is the time format in the query parameters of /v1/incidents.
const QueryTime = time.RFC3339
