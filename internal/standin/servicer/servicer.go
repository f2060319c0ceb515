// Package servicer implements a stand-in upstream: an HTTP handler that runs
// requests for a configured time, records each run and injects faults.
//
// # Usage
//
//	s := servicer.New(servicer.WithServiceTime("booking", 20*time.Millisecond))
//	server := &http.Server{Handler: s, ConnState: s.ConnState}
//
// The routes are:
//
//	POST /run                runs a request
//	GET  /stats              returns the number of runs per key and attempt
//	GET  /admin/executions   returns a Record of all runs
//	PUT  /admin/leaving      makes the upstream refuse requests as leaving
//	PUT  /admin/misbehaviour takes Faults
//
// An answer with the header X-Not-Run: 1 means that the request did not run.
// Its status is 503, or 400 for an invalid body.
package servicer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
)

// Defaults and limits of an upstream.
const (
	// DefaultSlots is the largest number of requests that run at the same time.
	DefaultSlots = 8
	// DefaultConnections is the largest number of open connections.
	DefaultConnections = 64
	// maxBodyBytes is the size of the largest body that an entry host forwards.
	maxBodyBytes = 1 << 20
)

// Faults selects the faults to inject. Each share, 0 to 1, is the share of the
// requests that the fault affects. A request is affected by at most one fault,
// chosen by Seed and the position of the request in the order of all runs.
type Faults struct {
	Seed uint64 `json:"seed"`
	// Slow is the share of requests that take SlowTime longer.
	Slow     float64       `json:"slow"`
	SlowTime time.Duration `json:"slow_time"`
	// Truncated is the share of answers that are shorter than their
	// Content-Length.
	Truncated float64 `json:"truncated"`
	// Unended is the share of answers that are chunked and lack the last chunk.
	Unended float64 `json:"unended"`
	// Closed is the share of requests that run and whose connection is closed
	// without an answer.
	Closed float64 `json:"closed"`
	// Failed is the share of requests that run and are answered with status
	// 500.
	Failed float64 `json:"failed"`
}

// Options configure a Servicer.
type Options struct {
	Clock primrosespar.Clock
	// Slots is the largest number of requests that run at the same time.
	Slots int
	// Connections is the largest number of open connections.
	Connections int
	// ServiceTimes is how long a request of each class holds its slot.
	ServiceTimes map[primrosespar.Class]time.Duration
	// Faults are in effect from the start.
	Faults Faults
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock for service times and the times of runs.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithServiceTime sets how long a request of the class holds its slot.
func WithServiceTime(class primrosespar.Class, d time.Duration) Option {
	return func(o *Options) { o.ServiceTimes[class] = d }
}

// WithFaults sets the faults that are in effect from the start.
func WithFaults(faults Faults) Option {
	return func(o *Options) { o.Faults = faults }
}

// RunCount is the number of runs of a request key or of an attempt; the other of the
// two is empty.
type RunCount struct {
	Account primrosespar.Account `json:"account"`
	Key     string               `json:"key,omitempty"`
	Attempt string               `json:"attempt,omitempty"`
	Runs    int                  `json:"runs"`
}

// Execution is one run of a request. Number is unique and part of the answer,
// so that the answers to two runs of the same request differ.
type Execution struct {
	Account primrosespar.Account `json:"account"`
	Key     string               `json:"key"`
	Number  string               `json:"number"`
	At      time.Time            `json:"at"`
}

// Departure records when the upstream first refused a request because it was
// leaving, and when the last request arrived. A zero time means never.
type Departure struct {
	FirstRefusal time.Time `json:"first_refusal"`
	LastRequest  time.Time `json:"last_request"`
}

// Servicer is the http.Handler of the upstream. It is safe for concurrent use.
type Servicer struct {
	router          *httprouter.Router
	options         Options
	mu              sync.Mutex
	busySlots       int
	openConnections int
	leaving         bool
	totalRuns       uint64
	refusedRequests uint64
	// runCounts maps each key and each attempt, as a RunCount with Runs 0, to its
	// number of runs.
	runCounts map[RunCount]int

	executions []Execution
	departure  Departure
}

// New returns a Servicer. Without WithClock it uses the system clock.
func New(opts ...Option) *Servicer {
	options := Options{
		Clock: clockwork.NewRealClock(), Slots: DefaultSlots, Connections: DefaultConnections,
		ServiceTimes: map[primrosespar.Class]time.Duration{},
	}
	for _, opt := range opts {
		opt(&options)
	}
	s := &Servicer{router: httprouter.New(), options: options, runCounts: map[RunCount]int{}}
	s.router.POST("/run", s.handleRun)
	s.router.GET("/stats", s.handleStats)
	s.router.PUT("/admin/leaving", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s.SetLeaving(true)
		w.WriteHeader(http.StatusNoContent)
	})
	s.router.PUT("/admin/misbehaviour", s.handleFaults)
	s.router.GET("/admin/executions", s.handleExecutions)
	return s
}

// ServeHTTP serves one request.
func (s *Servicer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// ConnState closes connections above the limit. It is meant for the ConnState
// field of http.Server.
func (s *Servicer) ConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConnections++
		if s.openConnections > s.options.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConnections--
	default:
	}
}

// SetLeaving sets whether the upstream refuses new requests because it is
// leaving.
func (s *Servicer) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetFaults replaces the faults.
func (s *Servicer) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Faults = faults
}

// Digest returns the value by which a caller recognises the answer to its own
// request: a hash of all parts of the request, each preceded by its length.
func Digest(account primrosespar.Account, class primrosespar.Class, key string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(account), []byte(class), []byte(key), body} {
		_, _ = fmt.Fprintf(hash, "%d:", len(part))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// handleRun serves POST /run.
func (s *Servicer) handleRun(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "the request body is truncated or too large", http.StatusBadRequest)
		return
	}
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	fault, number := s.recordRun(r)
	class := primrosespar.Class(r.Header.Get("X-Class"))
	s.options.Clock.Sleep(s.options.ServiceTimes[class])
	account, key := primrosespar.Account(r.Header.Get("X-Account")), r.Header.Get("X-Request-Key")
	answer, _ := json.Marshal(struct {
		Digest string `json:"digest"`
		Number string `json:"number"`
	}{Digest(account, class, key, body), number})
	s.respond(w, fault, answer)
}

// acquireSlot takes a slot and returns true, or refuses the request with status
// 503 and returns false.
func (s *Servicer) acquireSlot(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departure.LastRequest = s.options.Clock.Now()
	if !s.leaving && s.busySlots < s.options.Slots {
		s.busySlots++
		return true
	}
	s.refusedRequests++
	w.Header().Set("X-Not-Run", "1")
	if s.leaving {
		if s.departure.FirstRefusal.IsZero() {
			s.departure.FirstRefusal = s.departure.LastRequest
		}
		w.Header().Set("X-Leaving", "1")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// releaseSlot frees the slot of a request.
func (s *Servicer) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busySlots--
}

// faultKind is the fault that affects a request. The order of the kinds is that
// of the shares in recordRun.
type faultKind int

const (
	faultNone faultKind = iota
	faultSlow
	faultTruncated
	faultUnended
	faultClosed
	faultFailed
)

// recordRun records the run of a request and returns its fault and its number.
func (s *Servicer) recordRun(r *http.Request) (faultKind, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	account := primrosespar.Account(r.Header.Get("X-Account"))
	key := r.Header.Get("X-Request-Key")
	s.runCounts[RunCount{Account: account, Key: key}]++
	now := s.options.Clock.Now()
	number := fmt.Sprintf("%d-%d", now.UnixNano(), s.totalRuns)
	s.executions = append(s.executions, Execution{Account: account, Key: key, Number: number, At: now})
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		s.runCounts[RunCount{Account: account, Attempt: attempt}]++
	}
	faults := s.options.Faults
	var hashInput [16]byte
	binary.LittleEndian.PutUint64(hashInput[:8], faults.Seed)
	binary.LittleEndian.PutUint64(hashInput[8:], s.totalRuns)
	drawn := float64(xxhash.Sum64(hashInput[:])>>11) / (1 << 53)
	for i, share := range []float64{faults.Slow, faults.Truncated, faults.Unended, faults.Closed, faults.Failed} {
		if drawn < share {
			return faultSlow + faultKind(i), number
		}
		drawn -= share
	}
	return faultNone, number
}

// respond sends the answer, changed by the fault.
func (s *Servicer) respond(w http.ResponseWriter, fault faultKind, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	switch fault {
	case faultSlow:
		s.mu.Lock()
		slowTime := s.options.Faults.SlowTime
		s.mu.Unlock()
		s.options.Clock.Sleep(slowTime)
	case faultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		answer = answer[:len(answer)/2]
	case faultUnended:
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faultClosed:
		panic(http.ErrAbortHandler)
	case faultFailed:
		w.WriteHeader(http.StatusInternalServerError)
	default:
	}
	_, _ = io.Copy(w, bytes.NewReader(answer))
}

// handleFaults serves PUT /admin/misbehaviour.
func (s *Servicer) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// handleStats serves GET /stats.
func (s *Servicer) handleStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := struct {
		Total   uint64     `json:"total"`
		Refused uint64     `json:"refused"`
		Runs    []RunCount `json:"runs"`
	}{s.totalRuns, s.refusedRequests, nil}
	for run, count := range s.runCounts {
		run.Runs = count
		stats.Runs = append(stats.Runs, run)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(stats)
}

// handleExecutions serves GET /admin/executions.
func (s *Servicer) handleExecutions(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Record{Executions: s.executions, Departure: s.departure})
}

// Record is the answer to GET /admin/executions.
type Record struct {
	Executions []Execution `json:"executions"`
	Departure  Departure   `json:"departure"`
}
