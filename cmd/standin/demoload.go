package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// outcome is the final outcome of a request as its caller sees it.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "refused_not_run"
	outcomeUnknown  outcome = "outcome_unknown"
	// outcomeWrong is an answer that is incomplete or belongs to another
	// request.
	outcomeWrong outcome = "wrong_answer"
)

// request is one request of a caller and its outcome.
type request struct {
	Account primrosespar.Account `json:"account"`
	Class   primrosespar.Class   `json:"class"`
	Place   primrosespar.Place   `json:"place"`
	Key     string               `json:"key"`
	Outcome outcome              `json:"outcome"`
	// Code is the name of the last result code.
	Code          string        `json:"code"`
	Attempts      int           `json:"calls"`
	Duration      time.Duration `json:"took"`
	nonIdempotent bool
}

// Timeout and retries of a caller.
const (
	callTimeout   = 6 * time.Second
	maxAttempts   = 4
	retryInterval = 300 * time.Millisecond
)

// demoLoad sends the requests of the callers of one deployment.
type demoLoad struct {
	deployment *deployment
	client     *http.Client
	// logEach prints the outcome of every request.
	logEach bool

	mu       sync.Mutex
	requests []*request
}

func newDemoLoad(d *deployment) *demoLoad {
	return &demoLoad{deployment: d, client: &http.Client{Timeout: callTimeout}}
}

// send sends one request as the clients of the example accounts do: without a
// final answer it repeats the call with the same key at another host.
func (l *demoLoad) send(ctx context.Context, r *request, hostIndex int) {
	start := time.Now()
	body := []byte("body of " + r.Key)
	for r.Attempts < maxAttempts {
		host := l.deployment.pickHost(r.Place, hostIndex+r.Attempts)
		r.Attempts++
		done := l.sendOnce(ctx, r, host, body)
		if done || ctx.Err() != nil {
			break
		}
		time.Sleep(retryInterval)
	}
	r.Duration = time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// sendOnce sends the request once and reports whether it needs no retry.
func (l *demoLoad) sendOnce(ctx context.Context, r *request, host *entryHost, body []byte) bool {
	url := "http://" + host.addresses.Callers.String() + "/v1/requests/" + string(r.Class)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return true
	}
	httpRequest.Header.Set("Authorization", "Bearer "+l.deployment.callerToken(r.Account))
	httpRequest.Header.Set(caller.HeaderRequestKey, r.Key)
	if r.Outcome == "" || r.Outcome == outcomeNotRun {
		httpRequest.Header.Set(caller.HeaderFirstAttempt, "1")
	}
	response, err := l.client.Do(httpRequest)
	if err != nil {
		r.Code = "no_answer"
		r.Outcome = outcomeUnknown
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.Code = "cut_answer"
		r.Outcome = outcomeUnknown
		return false
	}
	return l.classifyResponse(r, response.StatusCode, data, body)
}

// classifyResponse sets the code and the outcome of the request and reports
// whether it needs no retry. An answer is checked against the digest that only
// a run of this request returns.
func (l *demoLoad) classifyResponse(r *request, status int, data, body []byte) bool {
	if status == http.StatusOK {
		var answer struct {
			Digest string `json:"digest"`
		}
		r.Code = "ok"
		r.Outcome = outcomeAnswered
		if json.Unmarshal(data, &answer) != nil || answer.Digest != servicer.Digest(r.Account, r.Class, r.Key, body) {
			r.Outcome = outcomeWrong
		}
		return true
	}
	var refusal caller.Refusal
	if json.Unmarshal(data, &refusal) != nil {
		r.Code = "unreadable"
		r.Outcome = outcomeUnknown
		return false
	}
	r.Code = refusal.Name
	r.Outcome = outcomeUnknown
	if refusal.Ran == primrosespar.RanNot {
		r.Outcome = outcomeNotRun
	}
	return false
}
