// Package forwarder makes one HTTP attempt at an upstream.
//
// A call that may run only once goes out on a connection of its own: net/http
// resends a request only on a reused connection, or if the request has an
// Idempotency-Key header, and neither occurs there. RoundTrip is used without
// a Client, because a Client resends the body on redirects 307 and 308.
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

// Header names between an entry host and an upstream.
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

// maxResponseHeaderBytes is the largest header of an answer in bytes.
const maxResponseHeaderBytes = 64 << 10

// Attempt is one attempt to run a call at an upstream.
type Attempt struct {
	Target primrosespar.UpstreamEntry
	Call   primrosespar.Call
	ID     primrosespar.AttemptID
	// Idempotent allows kept connections, on which net/http may resend.
	Idempotent bool
}

// Result is the whole answer, or the refusal in its place, and how the
// attempt went.
type Result struct {
	Answer  primrosespar.Answer
	Outcome primrosespar.AttemptOutcome
}

// Options are the parts and bounds of a Forwarder.
type Options struct {
	Clock primrosespar.Clock
	// AnswerLimit is the largest body of an answer in bytes.
	AnswerLimit int64
	// DialTimeout bounds the time to connect; within a place it takes about
	// 1 ms, so a second covers one lost SYN packet only.
	DialTimeout time.Duration
	// MaxIdlePerUpstream bounds the kept connections to one upstream, which has
	// 64 connections for all hosts.
	MaxIdlePerUpstream int
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithAnswerLimit sets the largest body of an answer in bytes.
func WithAnswerLimit(limit int64) Option {
	return func(o *Options) { o.AnswerLimit = limit }
}

// Forwarder makes attempts. It is safe for concurrent use.
type Forwarder struct {
	opts      Options
	keepAlive *http.Transport
	singleUse *http.Transport
}

// New returns a Forwarder.
func New(opts ...Option) *Forwarder {
	o := Options{AnswerLimit: 8 << 20, DialTimeout: 1500 * time.Millisecond, MaxIdlePerUpstream: 8}
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

// Close drops the kept connections.
func (f *Forwarder) Close() {
	f.keepAlive.CloseIdleConnections()
	f.singleUse.CloseIdleConnections()
}

// Do makes the attempt within the deadline of the call. An answer that ends
// after the deadline is discarded. The end of the context stops an idempotent
// attempt at any time and another one only until it is sent: its outcome is
// wanted for the record even if the caller has left.
func (f *Forwarder) Do(ctx context.Context, a Attempt) Result {
	start := f.opts.Clock.Now()
	timeLeft := a.Call.Remaining
	if !a.Call.Deadline.IsZero() {
		timeLeft = a.Call.Deadline.Sub(start)
	}
	if timeLeft <= 0 {
		return refusedResult(answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the send")))
	}
	callerCtx := ctx
	if callerCtx.Err() != nil {
		// AfterFunc alone may run after the send.
		return refusedResult(failureAnswer(callerCtx, nil, false))
	}
	ctx, cancelTimeout := context.WithTimeout(context.WithoutCancel(callerCtx), timeLeft)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	// The transport calls GotConn before it writes and on the goroutine of
	// RoundTrip, so without that call no byte can have left.
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

// exchange sends the request and reads the whole answer.
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
		// The body is then the connection, whose reads ignore the deadline.
		return Result{}, eris.New("the upstream switched protocols")
	}
	leaving := resp.Header.Get(headerLeaving) == "1"
	return Result{
		Answer:  f.readAnswer(resp, a),
		Outcome: primrosespar.AttemptOutcome{Leaving: leaving},
	}, nil
}

// newRequest builds the request of the attempt.
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

// readAnswer reads the body to its end and judges the answer.
func (f *Forwarder) readAnswer(resp *http.Response, a Attempt) primrosespar.Answer {
	body, err := io.ReadAll(io.LimitReader(resp.Body, f.opts.AnswerLimit+1))
	if err != nil {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer ended early").WithCause(err))
	}
	if int64(len(body)) > f.opts.AnswerLimit {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer exceeds %d bytes", f.opts.AnswerLimit))
	}
	if resp.ContentLength < 0 && !chunked(resp) {
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeAnswerTruncated, "the answer has neither a length nor chunks, so its end cannot be told from a cut"))
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
		// An upstream that failed may have done part of the work.
		answer.Code = primrosespar.CodeUpstreamError
		answer.Ran = primrosespar.RanUnknown
	}
	return answer
}

// chunked reports whether the answer marks its own end by a last chunk.
func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// failureAnswer is the refusal for an attempt without an answer. The context and not
// the error says whether the deadline passed: the error of a dial timeout
// equals context.DeadlineExceeded too.
func failureAnswer(ctx context.Context, err error, sent bool) primrosespar.Answer {
	switch {
	case sent:
		return answerOf(primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no whole answer came in time").WithCause(err))
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return answerOf(primrosespar.Fail(primrosespar.CodeDeadlinePassed, "the deadline passed before the send"))
	case ctx.Err() != nil:
		return answerOf(primrosespar.Fail(primrosespar.CodeCallerGone, "the caller left before the send"))
	default:
		return answerOf(primrosespar.Fail(primrosespar.CodeNoUpstream, "the upstream cannot be reached").WithCause(err))
	}
}

// refusedResult is the result of an attempt that was not started.
func refusedResult(answer primrosespar.Answer) Result {
	return Result{Answer: answer, Outcome: primrosespar.AttemptOutcome{Code: answer.Code}}
}

// answerOf turns a failure into the answer of the caller.
func answerOf(f *primrosespar.Failure) primrosespar.Answer {
	return primrosespar.Answer{Code: f.Code, Ran: f.Ran, Status: f.Code.Info().HTTP, Message: f.Error()}
}
