package configurer

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"primrosespar.example/primrosespar/internal/contract/parser"
	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Bounds of the values in the settings.
const (
	maxNameLength = 63
	maxPlaces     = 64
	maxTokens     = 1024
	// minTokenLength is the length of the shortest token. 16 characters cannot
	// be guessed at the rate at which a host answers.
	minTokenLength = 16
	maxTokenLength = 256
	maxPathLength  = 4096
	maxURLLength   = 2048
	// maxBodyBytes keeps a call that is forwarded to another host below the
	// limit of a message between hosts, which is 2 MiB.
	maxBodyBytes = 1 << 20
	// maxAnswerBytes leaves 64 KiB for the other fields of a message between
	// hosts, which is at most 2 MiB: a call with a minted key may run on
	// another host, which sends the answer back.
	maxAnswerBytes = 2<<20 - 64<<10
	// maxCount bounds the limits on requests, connections and decision records.
	maxCount = 100_000
)

// Fields returns the fields of all keys of the settings.
func Fields() []decoder.Field {
	return []decoder.Field{
		nameField("host", "Name of this host, unique in its place; the live host with the lowest name polls the contracts."),
		nameField("place", "Place of this host; one of `places`."),
		nameField("region", "Region of this host's place."),
		{Key: "places", Kind: decoder.Tables, Required: true, Min: 1, Max: maxPlaces, Help: "All places of the installation.", Fields: []decoder.Field{
			nameField("place", "Name of the place."),
			nameField("region", "Region that the place belongs to."),
		}},
		{Key: "listen", Kind: decoder.Table, Required: true, Help: "Addresses of this host.", Fields: []decoder.Field{
			addressField("callers", "Address for callers."),
			addressField("operators", "Address for operators, health and metrics."),
			addressField("peers", "Address for other hosts of the place."),
		}},
		{Key: "platform", Kind: decoder.Table, Required: true, Help: "Services of the platform.", Fields: []decoder.Field{
			urlField("table", "URL of the table service."),
			urlField("objects", "URL of the object store."),
			urlField("hosts", "URL of the list of hosts and upstreams."),
			urlField("workers", "URL of the worker service."),
		}},
		{Key: "callers", Kind: decoder.Tables, Max: maxTokens, Help: "Tokens of callers.", Fields: []decoder.Field{
			nameField("account", "Client account that the token belongs to."),
			tokenField(),
		}},
		{Key: "operators", Kind: decoder.Tables, Max: maxTokens, Help: "Tokens of operators.", Fields: []decoder.Field{
			nameField("operator", "Name of the operator in the history of contracts."),
			tokenField(),
		}},
		{Key: "tls", Kind: decoder.Table, Help: "TLS; all files or none.", Fields: []decoder.Field{
			{Key: "certificate", Kind: decoder.Text, Max: maxPathLength, Help: "PEM file of this host's certificate."},
			{Key: "key", Kind: decoder.Text, Max: maxPathLength, Help: "PEM file of its private key."},
			{Key: "authority", Kind: decoder.Text, Max: maxPathLength, Help: "PEM file of the authority that signs hosts and the platform."},
		}},
		{Key: "limits", Kind: decoder.Table, Help: "Limits of this host.", Fields: limitFields()},
		{Key: "timeouts", Kind: decoder.Table, Help: "Durations and intervals; those of leases and views must be the same on all hosts.", Fields: timeoutFields()},
	}
}

// limitFields returns the fields of the limits. With the defaults, a host stays
// within 128 MB of memory.
func limitFields() []decoder.Field {
	integer := func(key, unit, defaultValue string, minimum, maximum float64, help string) decoder.Field {
		return decoder.Field{Key: key, Kind: decoder.Integer, Unit: unit, Default: defaultValue, Min: minimum, Max: maximum, Help: help}
	}
	return []decoder.Field{
		integer("body_bytes", "bytes", "1048576", 1024, maxBodyBytes, "Largest body of a request."),
		integer("answer_bytes", "bytes", "1048576", 1024, maxAnswerBytes, "Largest answer of an upstream."),
		integer("requests", "requests", "1024", 1, maxCount, "Calls, key requests and job requests in the host at once, queued ones included; more are refused as not run."),
		integer("connections", "connections", "4096", 1, maxCount, "Open connections of each address; another one displaces one that holds much and moves little."),
		integer("connection_bytes", "bytes", "33554432", 8<<20, 1<<30, "Memory of the connections, heads and bodies of each HTTP address, and half as much for other hosts; those that hold much and move little are cut first."),
		integer("minted_keys", "keys", "65536", 1, 1<<20, "Minted keys that the host remembers."),
		integer("work_bytes", "bytes", "65536", 1, maxBodyBytes/2, "Largest payload of a job."),
		integer("record_decisions", "decisions", "8192", 16, maxCount, "Decision records that wait for the object store."),
		integer("record_bytes", "bytes", "65536", 1024, 1<<20, "Bytes of decision records that the place writes per 10 s."),
	}
}

// timeoutFields returns the fields of the timeouts. The defaults are those of
// docs/design.md, section 8.
func timeoutFields() []decoder.Field {
	duration := func(key, defaultValue string, minimum, maximum time.Duration, help string) decoder.Field {
		return decoder.Field{Key: key, Kind: decoder.Duration, Default: defaultValue, Min: float64(minimum), Max: float64(maximum), Help: help}
	}
	const ms, s = time.Millisecond, time.Second
	return []decoder.Field{
		duration("lease", "6s", s, 60*s, "Time without a renewal after which a candidate takes the place lease."),
		duration("lease_renew", "2s", 100*ms, 30*s, "Time between renewals of the place lease."),
		duration("view_validity", "3s", 500*ms, 5*s, "How long the contracts count as current after a poll was sent."),
		duration("view_poll", "1s", 100*ms, 4*s, "Time between polls of the contract head by the host that polls; the other hosts poll when their view is older than 1.5 times this."),
		duration("worker_lease", "10s", s, 60*s, "Lease of a worker."),
		duration("worker_renew", "3s", 500*ms, 30*s, "Time between renewals of a worker lease."),
		duration("platform_call", "1s", 50*ms, 10*s, "Timeout of one call to the platform, in addition to the timeouts of its callers."),
		duration("peer_call", "500ms", 10*ms, 10*s, "Timeout of one call to another host, except `Execute`."),
		duration("drain", "30s", s, 600*s, "Timeout of a graceful shutdown."),
	}
}

func nameField(key, help string) decoder.Field {
	return decoder.Field{Key: key, Kind: decoder.Text, Required: true, Min: 1, Max: maxNameLength, Check: parser.CheckName, Help: help}
}

func tokenField() decoder.Field {
	return decoder.Field{Key: "token", Kind: decoder.Text, Required: true, Min: minTokenLength, Max: maxTokenLength, Secret: true, Help: "Bearer token; never printed."}
}

func addressField(key, help string) decoder.Field {
	return decoder.Field{Key: key, Kind: decoder.Text, Required: true, Min: 1, Max: maxNameLength, Check: checkAddress, Help: help + " IP address and port."}
}

func urlField(key, help string) decoder.Field {
	return decoder.Field{Key: key, Kind: decoder.Text, Required: true, Min: 1, Max: maxURLLength, Check: checkURL, Help: help}
}

// checkAddress describes a valid address, or returns nothing if the text is
// one.
func checkAddress(text string) string {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "an IP address and port such as \"127.0.0.1:7101\""
	}
	return ""
}

// checkURL describes a valid URL, or returns nothing if the text is one. The
// host must be an IP address, because a process resolves no names.
func checkURL(text string) string {
	const valid = "a URL with an IP address such as \"http://127.0.0.1:7001\""
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil {
		return valid
	}
	if _, err = netip.ParseAddr(strings.Trim(u.Hostname(), "[]")); err != nil {
		return valid
	}
	return ""
}
