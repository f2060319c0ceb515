// Package caller is the HTTP client for the operator API of an entry host. It
// also defines the headers and bodies that client and host share.
//
// # Usage
//
//	c := caller.New(caller.WithServer("http://127.0.0.1:7102"), caller.WithToken(token))
//	answer, err := c.Contract(ctx, "nord")
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// Limits of one call.
const (
	// callTimeout is long enough for an amendment that waits for a failover of
	// the store.
	callTimeout = 15 * time.Second
	dialTimeout = 3 * time.Second
	maxResponse = 16 << 20
	// maxAmendAttempts bounds how often an amendment is sent. Retries are safe
	// because the host recognises the amendment by its ID.
	maxAmendAttempts = 3
)

// Options configure a Caller.
type Options struct {
	Server string
	Token  string
	// Transport sends the requests.
	Transport http.RoundTripper
}

// Option sets one option.
type Option func(*Options)

// WithServer sets the URL of the entry host.
func WithServer(url string) Option { return func(o *Options) { o.Server = url } }

// WithToken sets the operator's token.
func WithToken(token string) Option { return func(o *Options) { o.Token = token } }

// WithTransport sets the transport.
func WithTransport(t http.RoundTripper) Option { return func(o *Options) { o.Transport = t } }

// Caller is a client of one entry host.
type Caller struct {
	opts   Options
	client *http.Client
}

// New returns a Caller. Its default transport opens a connection for each call.
func New(opts ...Option) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	o := Options{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Caller{opts: o, client: &http.Client{Transport: o.Transport, Timeout: callTimeout}}
}

// call is one HTTP call.
type call struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
	contentType  string
	// mutates is set if the call changes state, so that its outcome is unknown
	// without a response.
	mutates bool
}

// do sends the call and decodes the response. A refusal is returned as a
// primrosespar.Failure.
func (c *Caller) do(ctx context.Context, call call, answer any) error {
	target := strings.TrimSuffix(c.opts.Server, "/") + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	if base, err := url.Parse(c.opts.Server); err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "--server is %q, it must be a URL such as http://127.0.0.1:7102", c.opts.Server)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "--server is not a valid URL")
	}
	for key, values := range call.header {
		request.Header[key] = values
	}
	if call.contentType != "" {
		request.Header.Set("Content-Type", call.contentType)
	}
	request.Header.Set("Authorization", "Bearer "+c.opts.Token)
	response, err := c.client.Do(request)
	if err != nil {
		return call.callError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return call.callError(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalError(response.StatusCode, data)
	}
	if err = json.Unmarshal(data, answer); err != nil {
		return call.callError(err)
	}
	return nil
}

// callError converts the error of a call that got no complete response. If the
// connection failed, the call had no effect.
func (c call) callError(err error) error {
	var opError *net.OpError
	if !c.mutates || errors.As(err, &opError) && opError.Op == "dial" {
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "no response from the host").WithCause(err)
	}
	return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no complete response from the host").WithCause(err)
}

// refusalError converts an unsuccessful response to a Failure.
func refusalError(status int, data []byte) error {
	var body Refusal
	if err := json.Unmarshal(data, &body); err != nil || body.Name == "" {
		return primrosespar.FailUnknown(primrosespar.CodeInternal, "the host responded with status %d", status)
	}
	message := body.Message
	for _, fieldError := range body.FieldErrors {
		message += "\n" + fieldError.String()
	}
	failure := primrosespar.Fail(body.Code, "%s", message)
	failure.Ran = body.Ran
	return failure
}

// contractPath returns the URL path of a contract.
func contractPath(account primrosespar.Account) string {
	return "/v1/contracts/" + url.PathEscape(string(account))
}

// Contract returns the contract of an account.
func (c *Caller) Contract(ctx context.Context, account primrosespar.Account) (answer ContractAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: contractPath(account)}, &answer)
	return answer, err
}

// Apply amends the base version of a contract. It retries with the same ID
// while the outcome is unknown.
func (c *Caller) Apply(ctx context.Context, account primrosespar.Account, base primrosespar.Version, id string, document []byte) (ContractAnswer, error) {
	return c.amend(ctx, base, id, call{
		method: http.MethodPut, path: contractPath(account), body: document, contentType: TypeTOML, mutates: true,
	})
}

// Delete ends a contract. It retries like Apply.
func (c *Caller) Delete(ctx context.Context, account primrosespar.Account, base primrosespar.Version, id string) (ContractAnswer, error) {
	return c.amend(ctx, base, id, call{method: http.MethodDelete, path: contractPath(account), mutates: true})
}

// amend sends one amendment until its outcome is known, up to maxAmendAttempts
// times.
func (c *Caller) amend(ctx context.Context, base primrosespar.Version, id string, amendment call) (answer ContractAnswer, err error) {
	for attempt := range maxAmendAttempts {
		header := http.Header{}
		amendment.header = header
		header.Set(HeaderIfMatch, strconv.FormatUint(uint64(base), 10))
		header.Set(HeaderAmendmentID, id)
		if attempt > 0 {
			header.Set(HeaderResent, "1")
		}
		err = c.do(ctx, amendment, &answer)
		if !outcomeUnknown(err) {
			return answer, err
		}
	}
	return answer, err
}

// outcomeUnknown reports whether the call failed but may have taken effect.
func outcomeUnknown(err error) bool {
	var failure *primrosespar.Failure
	return errors.As(err, &failure) && failure.Ran == primrosespar.RanUnknown
}

// History returns the amendments of an account, newest first.
func (c *Caller) History(ctx context.Context, account primrosespar.Account) (answer HistoryAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: contractPath(account) + "/history"}, &answer)
	return answer, err
}

// Check asks whether a document would be accepted.
func (c *Caller) Check(ctx context.Context, document []byte) (answer CheckAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/contracts/check", body: document, contentType: TypeTOML}, &answer)
	return answer, err
}

// Submit submits a job. The host recognises a repeated submission by the key.
// Set first if no earlier submission with the key can have been accepted.
func (c *Caller) Submit(ctx context.Context, key string, first bool, job JobRequest) (answer JobAnswer, err error) {
	body, err := json.Marshal(job)
	if err != nil {
		return answer, err
	}
	header := http.Header{}
	header.Set(HeaderRequestKey, key)
	if first {
		header.Set(HeaderFirstAttempt, "1")
	}
	header.Set(HeaderAccount, string(job.Account))
	err = c.do(ctx, call{
		method: http.MethodPost, path: "/v1/jobs", header: header,
		body: body, contentType: TypeJSON, mutates: true,
	}, &answer)
	return answer, err
}

// Jobs lists the jobs of an account in a place. Without an account it lists the
// jobs of all accounts, without a place those of the host's place.
func (c *Caller) Jobs(ctx context.Context, account primrosespar.Account, place primrosespar.Place) (answer JobsAnswer, err error) {
	query := url.Values{}
	if account != "" {
		query.Set("account", string(account))
	}
	if place != "" {
		query.Set("place", string(place))
	}
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs", query: query}, &answer)
	return answer, err
}

// Job returns one job.
func (c *Caller) Job(ctx context.Context, id primrosespar.JobID) (answer JobAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(string(id))}, &answer)
	return answer, err
}

// Cancel cancels a job. It is idempotent.
func (c *Caller) Cancel(ctx context.Context, id primrosespar.JobID) (answer JobAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(string(id)), mutates: true}, &answer)
	return answer, err
}

// Status returns the state of the host's place.
func (c *Caller) Status(ctx context.Context) (answer StatusAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/status"}, &answer)
	return answer, err
}

// Explain returns the decisions about one request, job or other subject.
func (c *Caller) Explain(ctx context.Context, id string) (answer ExplainAnswer, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(id)}, &answer)
	return answer, err
}

// Fleet returns the state of the fleet as the host sees it.
func (c *Caller) Fleet(ctx context.Context) (answer primrosespar.FleetStatus, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/fleet"}, &answer)
	return answer, err
}

// FleetJob returns a job of the fleet. The host must hold the fleet lease.
func (c *Caller) FleetJob(ctx context.Context, id primrosespar.JobID) (answer primrosespar.JobView, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/fleet/jobs/" + url.PathEscape(string(id))}, &answer)
	return answer, err
}

// evacuationPath returns the URL path of the evacuation of a place.
func evacuationPath(place primrosespar.Place) string {
	return "/v1/fleet/evacuations/" + url.PathEscape(string(place))
}

// Evacuate requests that a place of the fleet is emptied. It is idempotent.
func (c *Caller) Evacuate(ctx context.Context, place primrosespar.Place) (answer primrosespar.Evacuation, err error) {
	err = c.do(ctx, call{method: http.MethodPut, path: evacuationPath(place), mutates: true}, &answer)
	return answer, err
}

// Restore takes back the request that a place of the fleet is emptied.
func (c *Caller) Restore(ctx context.Context, place primrosespar.Place) (answer primrosespar.Evacuation, err error) {
	err = c.do(ctx, call{method: http.MethodDelete, path: evacuationPath(place), mutates: true}, &answer)
	return answer, err
}

// Incidents returns the incident report of a period.
func (c *Caller) Incidents(ctx context.Context, from, to time.Time) (answer IncidentAnswer, err error) {
	query := url.Values{}
	query.Set("from", from.Format(QueryTime))
	query.Set("to", to.Format(QueryTime))
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/incidents", query: query}, &answer)
	return answer, err
}
