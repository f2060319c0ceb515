// Package commander is an HTTP client for the platform's worker service. It
// makes a single attempt per call, with a timeout.
//
// # Usage
//
//	c := commander.New("http://127.0.0.1:7000", "burnie-a")
//	entries, cursor, err := c.Changes(ctx, "burnie-a", 0)
package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"primrosespar.example/primrosespar"
)

// DefaultTimeout is the default maximum duration of one call.
const DefaultTimeout = 2 * time.Second

// Option sets one option.
type Option func(*Options)

// Options configure a Commander.
type Options struct {
	Timeout   time.Duration
	Transport http.RoundTripper
}

// WithTimeout sets the maximum duration of one call.
func WithTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.Timeout = timeout }
}

// WithTransport sets the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(o *Options) { o.Transport = transport }
}

// Commander implements primrosespar.Workers. It is safe for concurrent use.
type Commander struct {
	baseURL string
	place   primrosespar.Place
	options Options
	client  *http.Client
}

var _ primrosespar.Workers = (*Commander)(nil)

// New returns a client for the service at the base URL, for use by a host in
// the place.
func New(baseURL string, place primrosespar.Place, opts ...Option) *Commander {
	options := Options{Timeout: DefaultTimeout, Transport: http.DefaultTransport.(*http.Transport).Clone()}
	for _, opt := range opts {
		opt(&options)
	}
	return &Commander{baseURL: baseURL, place: place, options: options, client: &http.Client{Transport: options.Transport}}
}

// Changes returns the workers that changed after the cursor, and the next
// cursor.
func (c *Commander) Changes(ctx context.Context, place primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	var response struct {
		Workers []primrosespar.WorkerEntry `json:"workers"`
		Cursor  uint64                     `json:"cursor"`
	}
	err := c.post(ctx, "/v1/workers/changes", struct {
		Place  primrosespar.Place `json:"place"`
		Cursor uint64             `json:"cursor"`
	}{place, cursor}, &response)
	if err != nil {
		return nil, cursor, err
	}
	return response.Workers, response.Cursor, nil
}

// Do sends commands and returns their results. If it returns an error, any of
// the commands may have been carried out.
func (c *Commander) Do(ctx context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	var response struct {
		Results []primrosespar.CommandResult `json:"results"`
	}
	err := c.post(ctx, "/v1/workers/do", struct {
		Place    primrosespar.Place     `json:"place"`
		Token    primrosespar.Token     `json:"token"`
		Commands []primrosespar.Command `json:"commands"`
	}{place, token, commands}, &response)
	if err != nil {
		return nil, err
	}
	if len(response.Results) != len(commands) {
		return nil, unknownEffect("the worker service returned %d results for %d commands", len(response.Results), len(commands))
	}
	return response.Results, nil
}

// unknownEffect returns the error of a call that may have taken effect.
func unknownEffect(format string, args ...any) *primrosespar.Failure {
	return primrosespar.FailUnknown(primrosespar.CodeWorkerLost, format, args...)
}

// post sends a request and decodes the response. It makes one attempt: the HTTP
// transport cannot send the body a second time, because the request has no
// GetBody.
func (c *Commander) post(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "cannot encode the request").WithCause(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "cannot create the request").WithCause(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Place", string(c.place))
	resp, err := c.client.Do(req)
	if err != nil {
		return unknownEffect("no answer from the worker service").WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return unknownEffect("the worker service answered with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
		return unknownEffect("invalid answer from the worker service").WithCause(err)
	}
	return nil
}
