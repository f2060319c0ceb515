// Package configurer parses the settings of an entry host from TOML and reports
// all errors of the file at once.
//
// # Usage
//
//	settings, err := configurer.Parse(data)
package configurer

import (
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Settings is the configuration of an entry host, read once at its start.
type Settings struct {
	Host      primrosespar.Host
	Place     primrosespar.Place
	Region    string
	Places    []PlaceSettings
	Listen    Listen
	Platform  Platform
	Callers   []CallerToken
	Operators []OperatorToken
	TLS       TLS
	Limits    Limits
	Timeouts  Timeouts
}

// PlaceSettings names a place of the installation and its region.
type PlaceSettings struct {
	Place  primrosespar.Place
	Region string
}

// Listen holds the addresses that the host listens on.
type Listen struct {
	Callers, Operators, Peers netip.AddrPort
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Table, Objects, Hosts, Workers string
}

// CallerToken authenticates the callers of a client account.
type CallerToken struct {
	Account primrosespar.Account
	Token   Secret
}

// OperatorToken authenticates an operator.
type OperatorToken struct {
	Operator string
	Token    Secret
}

// Secret is a string that fmt and encoding/json print as a placeholder.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "(hidden)" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "(hidden)" }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// TLS holds the paths of the PEM files. All are empty if TLS is disabled.
type TLS struct {
	Certificate, Key, Authority string
}

// Enabled reports whether the host uses TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bounds the work and the memory of the host.
type Limits struct {
	BodyBytes, AnswerBytes, Requests, Connections, MintedKeys, PayloadBytes int
	// ConnectionBytes limits the memory of the connections, heads and bodies of
	// each address.
	ConnectionBytes int
	// RecordDecisions is the size of the buffer of decision records.
	// RecordBytes limits the bytes of them that all hosts of the place write
	// per 10 s.
	RecordDecisions, RecordBytes int
}

// Timeouts holds the durations and intervals that the host uses.
type Timeouts struct {
	Lease, LeaseRenew             time.Duration
	ViewValidity, ViewPoll        time.Duration
	WorkerLease, WorkerRenew      time.Duration
	PlatformCall, PeerCall, Drain time.Duration
}

// Parse returns the settings in a TOML document. The error is a Failure with
// CodeBadRequest whose cause is decoder.FieldErrors.
func Parse(data []byte) (Settings, error) {
	tree, errs := decoder.Decode(data, Fields())
	errs = append(errs, checkAll(tree)...)
	if len(errs) > 0 {
		errs.Sort()
		return Settings{}, primrosespar.Fail(primrosespar.CodeBadRequest,
			"settings: %d errors", len(errs)).WithCause(errs)
	}
	return convert(tree), nil
}

// convert builds the settings from a tree without errors.
func convert(tree decoder.Tree) Settings {
	listen, platform, tls := tree.Table("listen"), tree.Table("platform"), tree.Table("tls")
	s := Settings{
		Host:   primrosespar.Host(tree.Text("host")),
		Place:  primrosespar.Place(tree.Text("place")),
		Region: tree.Text("region"),
		Listen: Listen{
			Callers:   netip.MustParseAddrPort(listen.Text("callers")),
			Operators: netip.MustParseAddrPort(listen.Text("operators")),
			Peers:     netip.MustParseAddrPort(listen.Text("peers")),
		},
		Platform: Platform{
			Table:   platform.Text("table"),
			Objects: platform.Text("objects"),
			Hosts:   platform.Text("hosts"),
			Workers: platform.Text("workers"),
		},
		TLS:      TLS{tls.Text("certificate"), tls.Text("key"), tls.Text("authority")},
		Limits:   convertLimits(tree.Table("limits")),
		Timeouts: convertTimeouts(tree.Table("timeouts")),
	}
	for _, p := range tree.Tables("places") {
		s.Places = append(s.Places, PlaceSettings{primrosespar.Place(p.Text("place")), p.Text("region")})
	}
	for _, c := range tree.Tables("callers") {
		s.Callers = append(s.Callers, CallerToken{primrosespar.Account(c.Text("account")), Secret(c.Text("token"))})
	}
	for _, o := range tree.Tables("operators") {
		s.Operators = append(s.Operators, OperatorToken{o.Text("operator"), Secret(o.Text("token"))})
	}
	return s
}

// convertLimits builds the limits from their table.
func convertLimits(t decoder.Tree) Limits {
	return Limits{
		BodyBytes:       t.Int("body_bytes"),
		AnswerBytes:     t.Int("answer_bytes"),
		Requests:        t.Int("requests"),
		Connections:     t.Int("connections"),
		ConnectionBytes: t.Int("connection_bytes"),
		MintedKeys:      t.Int("minted_keys"),
		PayloadBytes:    t.Int("work_bytes"),
		RecordDecisions: t.Int("record_decisions"),
		RecordBytes:     t.Int("record_bytes"),
	}
}

// convertTimeouts builds the timeouts from their table.
func convertTimeouts(t decoder.Tree) Timeouts {
	return Timeouts{
		Lease:        t.Duration("lease"),
		LeaseRenew:   t.Duration("lease_renew"),
		ViewValidity: t.Duration("view_validity"),
		ViewPoll:     t.Duration("view_poll"),
		WorkerLease:  t.Duration("worker_lease"),
		WorkerRenew:  t.Duration("worker_renew"),
		PlatformCall: t.Duration("platform_call"),
		PeerCall:     t.Duration("peer_call"),
		Drain:        t.Duration("drain"),
	}
}

// checkAll reports errors that involve more than one field.
func checkAll(tree decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	regions := map[string]string{}
	for _, p := range tree.Tables("places") {
		if _, duplicate := regions[p.Text("place")]; duplicate && p.Has("place") {
			errs = append(errs, p.FieldError("place", "%q is listed twice", p.Text("place")))
		}
		regions[p.Text("place")] = p.Text("region")
	}
	region, known := regions[tree.Text("place")]
	if tree.Has("place") && len(regions) > 0 && !known {
		errs = append(errs, tree.FieldError("place", "%q is not among the places", tree.Text("place")))
	}
	if known && tree.Has("region") && region != tree.Text("region") {
		errs = append(errs, tree.FieldError("region", "%q is not %q, the region of the place", tree.Text("region"), region))
	}
	tokens := map[string]bool{}
	for _, t := range append(tree.Tables("callers"), tree.Tables("operators")...) {
		if t.Has("token") && tokens[t.Text("token")] {
			errs = append(errs, t.FieldError("token", "the token is listed twice"))
		}
		tokens[t.Text("token")] = true
	}
	errs = append(errs, checkTLS(tree.Table("tls"))...)
	errs = append(errs, checkPayloadLimit(tree.Table("limits"))...)
	return append(errs, checkRenewals(tree.Table("timeouts"))...)
}

// checkTLS reports the missing TLS files if only some of them are set.
func checkTLS(tls decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	paths := tls.Text("certificate") + tls.Text("key") + tls.Text("authority")
	for _, key := range []string{"certificate", "key", "authority"} {
		if paths != "" && tls.Text(key) == "" {
			errs = append(errs, tls.FieldError(key, "missing; TLS needs all three files"))
		}
	}
	return errs
}

// checkPayloadLimit reports a payload limit above what a job request can carry:
// the payload is sent as base64 in a JSON body.
func checkPayloadLimit(limits decoder.Tree) decoder.FieldErrors {
	payload, body := limits.Int("work_bytes"), limits.Int("body_bytes")
	if limits.Has("work_bytes") && limits.Has("body_bytes") && 2*payload > body {
		return decoder.FieldErrors{limits.FieldError("work_bytes", "%d is above half of body_bytes, which is %d", payload, body)}
	}
	return nil
}

// checkRenewals reports intervals that leave no time for a second attempt
// before the lease or the view expires.
func checkRenewals(timeouts decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	for _, keys := range [][2]string{
		{"lease_renew", "lease"},
		{"view_poll", "view_validity"},
		{"worker_renew", "worker_lease"},
	} {
		interval, limit := timeouts.Duration(keys[0]), timeouts.Duration(keys[1])
		if timeouts.Has(keys[0]) && timeouts.Has(keys[1]) && 2*interval > limit {
			errs = append(errs, timeouts.FieldError(keys[0], "%s is above half of %s, which is %s", interval, keys[1], limit))
		}
	}
	return errs
}

// Manual returns the text of docs/settings.md.
func Manual() string {
	return "# Settings\n\n" +
		"One TOML document of at most 64 KiB per host. Durations are strings such as `\"1.5s\"`. " +
		"Generated from the parser's table; do not edit.\n\n" +
		decoder.Manual(Fields()) +
		"\nFurther rules:\n\n" +
		"- `place` is among `places` and `region` is its region; places and tokens are unique.\n" +
		"- TLS names all three files or none.\n" +
		"- `work_bytes` is at most half of `body_bytes`.\n" +
		"- `lease_renew`, `view_poll` and `worker_renew` are at most half of `lease`, `view_validity` and `worker_lease`.\n" +
		fleetManual()
}

// fleetManual returns the part of the manual about hosts of a fleet, whose
// settings the platform writes.
func fleetManual() string {
	return "\n## Connections of a fleet host\n\n" +
		"A host of a fleet derives its limits from the platform's `limits.memoryMb` and `limits.maxFds`, of which 200 are kept for files; the rest are its sockets. " +
		"The operator's limits are those of the configuration in force. No client that keeps to the platform's pages meets the defaults.\n\n" +
		"| limit | callers | peers | readiness, metrics |\n|---|---|---|---|\n" +
		"| connections | 0.375 of the sockets, 0.25 while the host leads | 0.375 of the sockets | 16 each |\n" +
		"| memory of connections, heads and bodies | 0.15 of the memory | 0.1 of the memory | 1 MiB each |\n" +
		"| requests at work | 0.08 of the sockets; others wait for 2 s | | |\n" +
		"| bytes of a head | operator's `maxHeaderBytes`, else 64 KiB; at most 1 MiB | a message: `maxBodyBytes` and 256 KiB | 64 KiB |\n" +
		"| bytes of a body | operator's `maxBodyBytes`, else 1 MiB; at most 1 MiB | | |\n" +
		"| time for a head | operator's `headerTimeoutMs`, else 5 s; at most 1 min | a message and its answer: 1 min | 5 s |\n" +
		"| time for a body | 10 s and the time that its bytes take at 16 KiB/s | | as callers |\n" +
		"| time between requests | operator's `idleTimeoutMs` and 1 s, else 60 s and 1 s | none | 60 s |\n" +
		"| time to read an answer | 10 s | 10 s | 10 s |\n" +
		"| time of a call, `Deadline-Ms` | at most 1 min | | |\n"
}
