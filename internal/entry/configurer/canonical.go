package configurer

import (
	"encoding/json"
	"time"
)

// Canonical returns the settings as JSON, defaults included, with the keys in
// the order of the manual. Tokens are replaced by a placeholder.
func Canonical(s Settings) ([]byte, error) {
	places := make([]placeJSON, len(s.Places))
	for i, p := range s.Places {
		places[i] = placeJSON{string(p.Place), p.Region}
	}
	callers := make([]tokenJSON, len(s.Callers))
	for i, c := range s.Callers {
		callers[i] = tokenJSON{Account: string(c.Account), Token: c.Token.String()}
	}
	operators := make([]tokenJSON, len(s.Operators))
	for i, o := range s.Operators {
		operators[i] = tokenJSON{Operator: o.Operator, Token: o.Token.String()}
	}
	return json.MarshalIndent(struct {
		Host      string       `json:"host"`
		Place     string       `json:"place"`
		Region    string       `json:"region"`
		Places    []placeJSON  `json:"places"`
		Listen    any          `json:"listen"`
		Platform  any          `json:"platform"`
		Callers   []tokenJSON  `json:"callers"`
		Operators []tokenJSON  `json:"operators"`
		TLS       any          `json:"tls"`
		Limits    limitsJSON   `json:"limits"`
		Timeouts  timeoutsJSON `json:"timeouts"`
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
		limitsJSON(s.Limits), newTimeoutsJSON(s.Timeouts),
	}, "", "  ")
}

type placeJSON struct {
	Place  string `json:"place"`
	Region string `json:"region"`
}

type tokenJSON struct {
	Account  string `json:"account,omitempty"`
	Operator string `json:"operator,omitempty"`
	Token    string `json:"token"`
}

// limitsJSON and timeoutsJSON have the keys of the settings file.
type limitsJSON struct {
	BodyBytes       int `json:"body_bytes"`
	AnswerBytes     int `json:"answer_bytes"`
	Requests        int `json:"requests"`
	Connections     int `json:"connections"`
	MintedKeys      int `json:"minted_keys"`
	PayloadBytes    int `json:"work_bytes"`
	ConnectionBytes int `json:"connection_bytes"`
	RecordDecisions int `json:"record_decisions"`
	RecordBytes     int `json:"record_bytes"`
}

type timeoutsJSON struct {
	Lease        durationText `json:"lease"`
	LeaseRenew   durationText `json:"lease_renew"`
	ViewValidity durationText `json:"view_validity"`
	ViewPoll     durationText `json:"view_poll"`
	WorkerLease  durationText `json:"worker_lease"`
	WorkerRenew  durationText `json:"worker_renew"`
	PlatformCall durationText `json:"platform_call"`
	PeerCall     durationText `json:"peer_call"`
	Drain        durationText `json:"drain"`
}

// durationText is a duration that is encoded as text such as "1.5s".
type durationText time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d durationText) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// newTimeoutsJSON converts the timeouts for encoding.
func newTimeoutsJSON(t Timeouts) timeoutsJSON {
	return timeoutsJSON{
		Lease:        durationText(t.Lease),
		LeaseRenew:   durationText(t.LeaseRenew),
		ViewValidity: durationText(t.ViewValidity),
		ViewPoll:     durationText(t.ViewPoll),
		WorkerLease:  durationText(t.WorkerLease),
		WorkerRenew:  durationText(t.WorkerRenew),
		PlatformCall: durationText(t.PlatformCall),
		PeerCall:     durationText(t.PeerCall),
		Drain:        durationText(t.Drain),
	}
}
