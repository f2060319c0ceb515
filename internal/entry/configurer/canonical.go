package configurer

import (
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar/internal/document/decoder"
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
		Host      string         `json:"host"`
		Place     string         `json:"place"`
		Region    string         `json:"region"`
		Places    []placeText    `json:"places"`
		Listen    any            `json:"listen"`
		Platform  any            `json:"platform"`
		Callers   []tokenText    `json:"callers"`
		Operators []tokenText    `json:"operators"`
		TLS       any            `json:"tls"`
		Limits    map[string]int `json:"limits"`
		Timeouts  any            `json:"timeouts"`
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
		s.Limits.byKey(), s.Timeouts.byKey(),
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

// byKey returns the limits by their keys in the settings.
func (l Limits) byKey() map[string]int {
	values := []int{
		l.BodyBytes, l.AnswerBytes, l.Requests, l.Connections, l.MintedKeys, l.WorkBytes,
		l.RecordDecisions, l.RecordBytes,
	}
	return zip(limitFields(), values)
}

// byKey returns the times by their keys in the settings.
func (t Timeouts) byKey() map[string]string {
	spans := []time.Duration{
		t.Lease, t.LeaseRenew, t.ViewValidity, t.ViewPoll, t.Beat, t.Membership, t.Handover,
		t.WorkerLease, t.WorkerRenew, t.WorkerSilent, t.Release, t.PlatformCall, t.PeerCall, t.Drain,
	}
	texts := make([]string, len(spans))
	for i, span := range spans {
		texts[i] = span.String()
	}
	return zip(timeoutFields(), texts)
}

// zip pairs the keys of a table with values in the same order.
func zip[T any](fields []decoder.Field, values []T) map[string]T {
	pairs := make(map[string]T, len(fields))
	for i, f := range fields {
		pairs[f.Key] = values[i]
	}
	return pairs
}
