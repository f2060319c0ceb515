package configurer

import (
	"encoding/json"
	"time"
)

// Canonical returns the settings as JSON with all defaults, in the order of
// the manual. Tokens are hidden.
func Canonical(s Settings) ([]byte, error) {
	places := make([]placeText, len(s.Places))
	for i, p := range s.Places {
		places[i] = placeText{string(p.Place), p.Region}
	}
	callers := make([]tokenText, len(s.Callers))
	for i, c := range s.Callers {
		callers[i] = tokenText{Account: string(c.Account), Token: c.Token.String()}
	}
	operators := make([]tokenText, len(s.Operators))
	for i, o := range s.Operators {
		operators[i] = tokenText{Operator: o.Operator, Token: o.Token.String()}
	}
	return json.MarshalIndent(struct {
		Host      string      `json:"host"`
		Place     string      `json:"place"`
		Region    string      `json:"region"`
		Places    []placeText `json:"places"`
		Listen    any         `json:"listen"`
		Platform  any         `json:"platform"`
		Callers   []tokenText `json:"callers"`
		Operators []tokenText `json:"operators"`
		TLS       any         `json:"tls"`
		Limits    limitsText  `json:"limits"`
		Timeouts  timesText   `json:"timeouts"`
	}{
		string(s.Host), string(s.Place), s.Region, places,
		struct {
			Callers   string `json:"callers"`
			Operators string `json:"operators"`
			Peers     string `json:"peers"`
		}{s.Listen.Callers.String(), s.Listen.Operators.String(), s.Listen.Peers.String()},
		struct {
			Table   string `json:"table"`
			Objects string `json:"objects"`
			Hosts   string `json:"hosts"`
			Workers string `json:"workers"`
		}(s.Platform),
		callers, operators,
		struct {
			Certificate string `json:"certificate"`
			Key         string `json:"key"`
			Authority   string `json:"authority"`
		}(s.TLS),
		limitsText(s.Limits), times(s.Timeouts),
	}, "", "  ")
}

type placeText struct {
	Place  string `json:"place"`
	Region string `json:"region"`
}

type tokenText struct {
	Account  string `json:"account,omitempty"`
	Operator string `json:"operator,omitempty"`
	Token    string `json:"token"`
}

// limitsText and timesText have the keys of the settings.
type limitsText struct {
	BodyBytes       int `json:"body_bytes"`
	AnswerBytes     int `json:"answer_bytes"`
	Requests        int `json:"requests"`
	Connections     int `json:"connections"`
	MintedKeys      int `json:"minted_keys"`
	WorkBytes       int `json:"work_bytes"`
	RecordDecisions int `json:"record_decisions"`
	RecordBytes     int `json:"record_bytes"`
}

type timesText struct {
	Lease        spanText `json:"lease"`
	LeaseRenew   spanText `json:"lease_renew"`
	ViewValidity spanText `json:"view_validity"`
	ViewPoll     spanText `json:"view_poll"`
	WorkerLease  spanText `json:"worker_lease"`
	WorkerRenew  spanText `json:"worker_renew"`
	PlatformCall spanText `json:"platform_call"`
	PeerCall     spanText `json:"peer_call"`
	Drain        spanText `json:"drain"`
}

// spanText is a duration that JSON holds as text.
type spanText time.Duration

// MarshalText returns the duration as text.
func (s spanText) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// times converts the times.
func times(t Timeouts) timesText {
	return timesText{
		Lease:        spanText(t.Lease),
		LeaseRenew:   spanText(t.LeaseRenew),
		ViewValidity: spanText(t.ViewValidity),
		ViewPoll:     spanText(t.ViewPoll),
		WorkerLease:  spanText(t.WorkerLease),
		WorkerRenew:  spanText(t.WorkerRenew),
		PlatformCall: spanText(t.PlatformCall),
		PeerCall:     spanText(t.PeerCall),
		Drain:        spanText(t.Drain),
	}
}
