// Package tabler is the HTTP client of the platform's table, object store and
// host list. It makes one attempt per call, under a timeout per call.
//
// # Usage
//
//	t := tabler.New("http://127.0.0.1:7000", "burnie-a")
//	rows, err := t.Get(ctx, "contract_head")
//
// A commit without a valid answer is CodeStoreUnknown unless the connection
// could not be made or the service itself refused it.
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

// PlaceHeader names the place of the caller.
const PlaceHeader = "X-Place"

// Bounds of one call.
const (
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes bounds an answer; objects are the largest.
	maxResponseBytes = 64 << 20
)

// Options configure a Tabler.
type Options struct {
	Timeout   time.Duration
	Transport http.RoundTripper
}

// Option sets one option.
type Option func(*Options)

// WithTimeout sets the time that one call may take.
func WithTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.Timeout = timeout }
}

// WithTransport sets the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(o *Options) { o.Transport = transport }
}

// Tabler is a Table, Objects and Hosts that is safe for concurrent use.
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

// New returns a client of the service at the base URL.
func New(baseURL string, place primrosespar.Place, opts ...Option) *Tabler {
	options := Options{Timeout: DefaultTimeout, Transport: http.DefaultTransport.(*http.Transport).Clone()}
	for _, opt := range opts {
		opt(&options)
	}
	return &Tabler{baseURL: baseURL, place: place, options: options}
}

// Get reads rows by key.
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
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "%d rows for %d keys", len(response.Rows), len(keys))
	}
	return response.Rows, nil
}

// Scan reads up to limit rows with the prefix and a key above after.
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

// Commit applies the transaction.
func (t *Tabler) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	var response struct {
		Versions []primrosespar.Version `json:"versions"`
	}
	if err := t.postJSON(ctx, "/v1/table/commit", txn, &response); err != nil {
		return nil, err
	}
	if len(response.Versions) != len(txn.Writes) {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "%d versions for %d writes", len(response.Versions), len(txn.Writes))
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

// Names lists up to limit names with the prefix above after.
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

// List returns the host list for the place.
func (t *Tabler) List(ctx context.Context, place primrosespar.Place) (primrosespar.Directory, error) {
	var directory primrosespar.Directory
	request := struct {
		Place primrosespar.Place `json:"place"`
	}{place}
	err := t.postJSON(ctx, "/v1/hosts/list", request, &directory)
	return directory, readError(err)
}

// readError turns an unknown outcome into unavailable, since a read has none.
func readError(err error) error {
	if primrosespar.CodeOf(err) == primrosespar.CodeStoreUnknown {
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the read gave no answer").WithCause(err)
	}
	return err
}

// postJSON posts a document and reads a document.
func (t *Tabler) postJSON(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "request").WithCause(err)
	}
	data, err := t.call(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, response); err != nil {
		return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "answer").WithCause(err)
	}
	return nil
}

// call makes one attempt. The body has no GetBody, so that the transport
// cannot send it a second time.
func (t *Tabler) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, t.baseURL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "request").WithCause(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(PlaceHeader, string(t.place))
	resp, err := t.options.Transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "no connection").WithCause(err)
	}
	if err != nil {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer").WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "answer cut short").WithCause(err)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, responseError(resp.StatusCode, data)
}

// responseError reads the service's own refusal; an error answer of another form
// says nothing about whether the write took effect.
func responseError(status int, data []byte) error {
	var response struct {
		Code    primrosespar.Code `json:"code"`
		Message string            `json:"message"`
	}
	if err := json.Unmarshal(data, &response); err != nil || response.Code == primrosespar.CodeOK {
		return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "status %d without a result code", status)
	}
	if response.Code == primrosespar.CodeStoreUnknown {
		return primrosespar.FailUnknown(response.Code, "%s", response.Message)
	}
	return primrosespar.Fail(response.Code, "%s", response.Message)
}
