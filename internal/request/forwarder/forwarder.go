// Package forwarder makes one HTTP attempt at an upstream.
//
// A non-idempotent call is sent on a new connection. net/http resends a request
// only if the connection was reused or the request has an Idempotency-Key
// header, and neither is the case there. RoundTrip is called without a Client,
// because a Client sends the body again on the redirects 307 and 308.
//
// # Usage
//
//	f := forwarder.New(forwarder.WithClock(clock))
//	result := f.Do(ctx, forwarder.Attempt{Target: grant.Target(), Call: call, ID: id})
//	grant.Release(result.Outcome)
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Names of the headers between an entry host and an upstream.
const (
	headerAccount     = "X-Account"
	headerClass       = "X-Class"
	headerKey         = "X-Request-Key"
	headerAttempt     = "X-Attempt-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerNotRun      = "X-Not-Run"
	headerLeaving     = "X-Leaving"
	headerContentType = "Content-Type"
)

// maxResponseHeaderBytes limits the size of the headers of an answer.
const maxResponseHeaderBytes = 64 << 10

// Attempt is one attempt to run a call at an upstream.
type Attempt struct {
	Target primrosespar.UpstreamEntry
	Call   primrosespar.Call
	ID     primrosespar.AttemptID
	// Idempotent allows keep-alive connections, on which net/http may resend
	// the request.
	Idempotent bool
}

// Result has the complete answer of the upstream, or a refusal in its place,
// and the outcome of the attempt.
type Result struct {
	Answer  primrosespar.Answer
	Outcome primrosespar.AttemptOutcome
}

// Options are the dependencies and limits of a Forwarder.
type Options struct {
	Clock primrosespar.Clock
	// MaxAnswer is the maximum size of the body of an answer in bytes.
	MaxAnswer int64
	// DialTimeout limits the time to connect. Within a place that takes about
	// 1 ms, or about a second more if one SYN packet is lost.
	DialTimeout time.Duration
	// MaxIdlePerUpstream limits the idle keep-alive connections to one
	// upstream, which accepts 64 connections from all hosts together.
	MaxIdlePerUpstream int
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithMaxAnswer sets the maximum size of the body of an answer in bytes.
func WithMaxAnswer(limit int64) Option {
	return func(o *Options) { o.MaxAnswer = limit }
}

// Forwarder makes HTTP attempts at upstreams. It is safe for concurrent use.
type Forwarder struct {
	opts      Options
	keepAlive *http.Transport
	singleUse *http.Transport
}

// New returns a Forwarder.
func New(opts ...Option) *Forwarder {
	o := Options{MaxAnswer: 8 << 20, DialTimeout: 1500 * time.Millisecond, MaxIdlePerUpstream: 8}
	for _, set := range opts {
		set(&o)
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	keepAlive := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: o.MaxIdlePerUpstream,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	}
	singleUse := &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	return &Forwarder{opts: o, keepAlive: keepAlive, singleUse: singleUse}
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.keepAlive.CloseIdleConnections()
	f.singleUse.CloseIdleConnections()
}

// Do makes the attempt within the deadline of the call. An answer that is
// complete only after the deadline is discarded. The end of the context stops
// an idempotent attempt at any time. It stops a non-idempotent attempt only
// before that is sent, since its outcome must be recorded even if the caller
// has disconnected.
func (f *Forwarder) Do(ctx context.Context, a Attempt) Result {
	start := f.opts.Clock.Now()
	timeLeft := a.Call.Remaining
	if !a.Call.Deadline.IsZero() {
		timeLeft = a.Call.Deadline.Sub(start)
	}
	if timeLeft <= 0 {
		return refusedResult(answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the request was sent")))
	}
	callerCtx := ctx
	if callerCtx.Err() != nil {
		// Without this check, AfterFunc could run only after the request is
		// sent.
		return refusedResult(failureAnswer(callerCtx, nil, false))
	}
	ctx, cancelTimeout := context.WithTimeout(context.WithoutCancel(callerCtx), timeLeft)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	// The transport calls GotConn on the goroutine of RoundTrip and before it
	// writes. Until that call, no byte of the request can have been sent.
	var mu sync.Mutex
	var sent bool
	stop := context.AfterFunc(callerCtx, func() {
		mu.Lock()
		defer mu.Unlock()
		if a.Idempotent || !sent {
			cancel(callerCtx.Err())
		}
	})
	defer stop()
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			sent = true
		},
	})
	result, err := f.exchange(traceCtx, a, timeLeft)
	mu.Lock()
	result.Outcome.Sent = sent
	mu.Unlock()
	late := result.Answer.Ran != primrosespar.RanNot && ctx.Err() != nil
	if err != nil || late {
		result.Answer = failureAnswer(ctx, err, result.Outcome.Sent)
	}
	result.Outcome.Code = result.Answer.Code
	result.Outcome.Latency = f.opts.Clock.Since(start)
	return result
}

// exchange sends the request and reads the complete answer.
func (f *Forwarder) exchange(ctx context.Context, a Attempt, timeLeft time.Duration) (Result, error) {
	req, err := newRequest(ctx, a, timeLeft)
	if err != nil {
		return Result{}, err
	}
	transport := f.singleUse
	if a.Idempotent {
		transport = f.keepAlive
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Result{}, eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// The body is then the raw connection, whose reads ignore the deadline.
		return Result{}, eris.New("the upstream switched protocols")
	}
	leaving := resp.Header.Get(headerLeaving) == "1"
	return Result{
		Answer:  f.readAnswer(resp, a),
		Outcome: primrosespar.AttemptOutcome{Leaving: leaving},
	}, nil
}

// newRequest returns the HTTP request of the attempt.
func newRequest(ctx context.Context, a Attempt, timeLeft time.Duration) (*http.Request, error) {
	url := "http://" + a.Target.Address.String() + "/run"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if !a.Idempotent {
		req.GetBody = nil
		req.Close = true
	}
	req.Header.Set(headerAccount, string(a.Call.Account))
	req.Header.Set(headerClass, string(a.Call.Class))
	req.Header.Set(headerAttempt, string(a.ID))
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	if a.Call.Key != "" {
		req.Header.Set(headerKey, a.Call.Key)
	}
	if a.Call.ContentType != "" {
		req.Header.Set(headerContentType, a.Call.ContentType)
	}
	return req, nil
}

// readAnswer reads the complete body and checks that the answer is whole,
// belongs to the attempt and reports success.
func (f *Forwarder) readAnswer(resp *http.Response, a Attempt) primrosespar.Answer {
	body, err := io.ReadAll(io.LimitReader(resp.Body, f.opts.MaxAnswer+1))
	if err != nil {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer ended early").WithCause(err))
	}
	if int64(len(body)) > f.opts.MaxAnswer {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer exceeds %d bytes", f.opts.MaxAnswer))
	}
	if resp.ContentLength < 0 && !chunked(resp) {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer has neither a Content-Length nor chunked encoding, so truncation cannot be detected"))
	}
	if echoedID := resp.Header.Get(headerAttempt); echoedID != "" && echoedID != string(a.ID) {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "the answer belongs to another attempt"))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "1" {
		return answerOf(primrosespar.Fail(primrosespar.CodeUpstreamBusy, "the upstream did not run the request"))
	}
	answer := primrosespar.Answer{
		Code:        primrosespar.CodeOK,
		Ran:         primrosespar.RanDone,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerContentType),
		Body:        body,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		// The upstream may have done part of the work before it failed.
		answer.Code = primrosespar.CodeUpstreamError
		answer.Ran = primrosespar.RanUnknown
	}
	return answer
}

// chunked reports whether the answer has chunked encoding, which marks its end.
func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// failureAnswer returns the refusal for an attempt without an answer. Whether
// the deadline has passed is taken from the context and not from the error,
// because the error of a dial timeout also matches context.DeadlineExceeded.
func failureAnswer(ctx context.Context, err error, sent bool) primrosespar.Answer {
	switch {
	case sent:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no complete answer was received").WithCause(err))
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the request was sent"))
	case ctx.Err() != nil:
		return answerOf(primrosespar.Fail(primrosespar.CodeCallerGone, "the caller disconnected before the request was sent"))
	default:
		return answerOf(primrosespar.Fail(primrosespar.CodeNoUpstream, "cannot connect to the upstream").WithCause(err))
	}
}

// refusedResult returns the result of an attempt that was not started.
func refusedResult(answer primrosespar.Answer) Result {
	return Result{Answer: answer, Outcome: primrosespar.AttemptOutcome{Code: answer.Code}}
}

// answerOf returns the answer to the caller for a failure.
func answerOf(f *primrosespar.Failure) primrosespar.Answer {
	return primrosespar.Answer{Code: f.Code, Ran: f.Ran, Status: f.Code.Info().HTTP, Message: f.Error()}
}
