// Package tabler is an HTTP client for the platform's table, object store and
// host list. It makes a single attempt per call, with a timeout.
//
// # Usage
//
//	t := tabler.New("http://127.0.0.1:7000", "burnie-a")
//	rows, err := t.Get(ctx, "contract_head")
//
// A commit without a valid answer fails with CodeStoreUnknown, unless no
// connection could be made or the service refused the commit.
package tabler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"primrosespar.example/primrosespar"
)

// PlaceHeader is the HTTP header with the place of the caller.
const PlaceHeader = "X-Place"

// Bounds of one call.
const (
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response. Objects are the
	// largest ones.
	maxResponseBytes = 64 << 20
)

// Options configure a Tabler.
type Options struct {
	Timeout   time.Duration
	Transport http.RoundTripper
}

// Option sets one option.
type Option func(*Options)

// WithTimeout sets the maximum duration of one call.
func WithTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.Timeout = timeout }
}

// WithTransport sets the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(o *Options) { o.Transport = transport }
}

// Tabler implements primrosespar.Table, Objects and Hosts. It is safe for
// concurrent use.
type Tabler struct {
	baseURL string
	place   primrosespar.Place
	options Options
}

var (
	_ primrosespar.Table   = (*Tabler)(nil)
	_ primrosespar.Objects = (*Tabler)(nil)
	_ primrosespar.Hosts   = (*Tabler)(nil)
)

// New returns a client for the service at the base URL, for use by a host in
// the place.
func New(baseURL string, place primrosespar.Place, opts ...Option) *Tabler {
	options := Options{Timeout: DefaultTimeout, Transport: http.DefaultTransport.(*http.Transport).Clone()}
	for _, opt := range opts {
		opt(&options)
	}
	return &Tabler{baseURL: baseURL, place: place, options: options}
}

// Get returns the rows with the keys.
func (t *Tabler) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	var response struct {
		Rows []primrosespar.Row `json:"rows"`
	}
	request := struct {
		Keys []string `json:"keys"`
	}{keys}
	if err := t.postJSON(ctx, "/v1/table/get", request, &response); err != nil {
		return nil, readError(err)
	}
	if len(response.Rows) != len(keys) {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the service returned %d rows for %d keys", len(response.Rows), len(keys))
	}
	return response.Rows, nil
}

// Scan returns up to limit rows whose keys have the prefix and are greater than
// after.
func (t *Tabler) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	var response struct {
		Rows []primrosespar.Row `json:"rows"`
	}
	request := struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}{prefix, after, limit}
	err := t.postJSON(ctx, "/v1/table/scan", request, &response)
	return response.Rows, readError(err)
}

// Commit applies the transaction and returns the new versions of the written
// rows.
func (t *Tabler) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	var response struct {
		Versions []primrosespar.Version `json:"versions"`
	}
	if err := t.postJSON(ctx, "/v1/table/commit", txn, &response); err != nil {
		return nil, err
	}
	if len(response.Versions) != len(txn.Writes) {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the service returned %d versions for %d writes", len(response.Versions), len(txn.Writes))
	}
	return response.Versions, nil
}

// Put stores the object.
func (t *Tabler) Put(ctx context.Context, name string, data []byte) error {
	_, err := t.call(ctx, http.MethodPut, "/v1/objects?name="+url.QueryEscape(name), data)
	return err
}

// Fetch returns the object.
func (t *Tabler) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, err := t.call(ctx, http.MethodGet, "/v1/objects?name="+url.QueryEscape(name), nil)
	return data, readError(err)
}

// Names returns up to limit names of objects that have the prefix and are
// greater than after.
func (t *Tabler) Names(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var response struct {
		Names []string `json:"names"`
	}
	request := struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}{prefix, after, limit}
	err := t.postJSON(ctx, "/v1/objects/names", request, &response)
	return response.Names, readError(err)
}

// List returns the list of hosts and upstreams of the place.
func (t *Tabler) List(ctx context.Context, place primrosespar.Place) (primrosespar.Directory, error) {
	var directory primrosespar.Directory
	request := struct {
		Place primrosespar.Place `json:"place"`
	}{place}
	err := t.postJSON(ctx, "/v1/hosts/list", request, &directory)
	return directory, readError(err)
}

// readError replaces CodeStoreUnknown by CodeStoreUnavailable, because a read
// has no effect that could be unknown.
func readError(err error) error {
	if primrosespar.CodeOf(err) == primrosespar.CodeStoreUnknown {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the read was not answered").WithCause(err)
	}
	return err
}

// postJSON posts a JSON document and decodes the JSON document in the response.
func (t *Tabler) postJSON(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "cannot encode the request").WithCause(err)
	}
	data, err := t.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, response); err != nil {
		return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "invalid answer from the service").WithCause(err)
	}
	return nil
}

// call sends a request and returns the body of the response. The request has no
// GetBody, so that the HTTP transport cannot send the body a second time.
func (t *Tabler) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, t.baseURL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "cannot create the request").WithCause(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(PlaceHeader, string(t.place))
	resp, err := t.options.Transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "no connection to the service").WithCause(err)
	}
	if err != nil {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer from the service").WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the answer of the service is truncated").WithCause(err)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, responseError(resp.StatusCode, data)
}

// responseError returns the error in a response of the service. A response that
// does not have the form of the service, for instance from a proxy, leaves it
// unknown whether the write took effect.
func responseError(status int, data []byte) error {
	var response struct {
		Code    primrosespar.Code `json:"code"`
		Message string            `json:"message"`
	}
	if err := json.Unmarshal(data, &response); err != nil || response.Code == primrosespar.CodeOK {
		return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the service answered with status %d and no result code", status)
	}
	if response.Code == primrosespar.CodeStoreUnknown {
		return primrosespar.FailUnknown(response.Code, "%s", response.Message)
	}
	return primrosespar.Fail(response.Code, "%s", response.Message)
}
