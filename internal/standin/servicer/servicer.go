// Package servicer is the stand-in service runner.
//
// # Usage
//
//	s := servicer.New(servicer.WithServiceTime("booking", 20*time.Millisecond))
//	server := &http.Server{Handler: s, ConnState: s.ConnState}
//
// POST /run runs a request; GET /stats returns the runs per key and attempt;
// GET /admin/executions returns every run with its time and the number that
// its answer carries.
// A 503 with X-Not-Run: 1 says that the request did not run.
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

// Sizes of a service runner.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	// maxBodyBytes is the largest body that an entry host passes on.
	maxBodyBytes = 1 << 20
)

// Faults is the share of requests, 0 to 1, that each fault hits. Each
// request suffers at most one; Seed and the order of the runs choose them.
type Faults struct {
	Seed uint64 `json:"seed"`
	// Slow requests take SlowTime longer.
	Slow     float64       `json:"slow"`
	SlowTime time.Duration `json:"slow_time"`
	// Truncated answers are shorter than their Content-Length, Unended ones
	// are chunked without the last chunk, Closed ones are not sent at all.
	Truncated float64 `json:"truncated"`
	Unended   float64 `json:"unended"`
	Closed    float64 `json:"closed"`
	// Failed requests run and get a 500.
	Failed float64 `json:"failed"`
}

// Options configure a Servicer.
type Options struct {
	Clock        primrosespar.Clock
	Slots        int
	Connections  int
	ServiceTimes map[primrosespar.Class]time.Duration
	Faults       Faults
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock that service times are measured on.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithServiceTime sets how long a request of the class holds its slot.
func WithServiceTime(class primrosespar.Class, d time.Duration) Option {
	return func(o *Options) { o.ServiceTimes[class] = d }
}

// WithFaults sets the faults that are on from the start.
func WithFaults(m Faults) Option {
	return func(o *Options) { o.Faults = m }
}

// RunCount counts the runs of one key or one attempt.
type RunCount struct {
	Account primrosespar.Account `json:"account"`
	Key     string               `json:"key,omitempty"`
	Attempt string               `json:"attempt,omitempty"`
	Runs    int                  `json:"runs"`
}

// Execution is one run of a request. Number is unique to it and part of its
// answer, so that the answers of two runs of one request differ.
type Execution struct {
	Account primrosespar.Account `json:"account"`
	Key     string               `json:"key"`
	Number  string               `json:"number"`
	At      time.Time            `json:"at"`
}

// Departure is what a leaving runner saw: when it first refused a request as
// leaving and when the last request arrived; zero times mean never.
type Departure struct {
	FirstRefusal time.Time `json:"first_refusal"`
	LastRequest  time.Time `json:"last_request"`
}

// Servicer is an http.Handler that is safe for concurrent use.
type Servicer struct {
	router  *httprouter.Router
	options Options
	mu      sync.Mutex
	busy    int
	conns   int
	leaving bool
	total   uint64
	refused uint64
	runs    map[RunCount]int

	executions []Execution
	departure  Departure
}

// New returns a service runner.
func New(opts ...Option) *Servicer {
	options := Options{
		Clock: clockwork.NewRealClock(), Slots: DefaultSlots, Connections: DefaultConnections,
		ServiceTimes: map[primrosespar.Class]time.Duration{},
	}
	for _, opt := range opts {
		opt(&options)
	}
	s := &Servicer{router: httprouter.New(), options: options, runs: map[RunCount]int{}}
	s.router.POST("/run", s.run)
	s.router.GET("/stats", s.stats)
	s.router.PUT("/admin/leaving", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s.SetLeaving(true)
		w.WriteHeader(http.StatusNoContent)
	})
	s.router.PUT("/admin/misbehaviour", s.misbehave)
	s.router.GET("/admin/executions", s.listExecutions)
	return s
}

// ServeHTTP serves one request.
func (s *Servicer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// ConnState closes connections above the limit; it goes into http.Server.
func (s *Servicer) ConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
		if s.conns > s.options.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns--
	default:
	}
}

// SetLeaving makes the runner refuse new requests as leaving.
func (s *Servicer) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetFaults replaces the faults.
func (s *Servicer) SetFaults(m Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Faults = m
}

// Digest is the value by which a caller recognises the answer to its own
// request; each part is preceded by its length.
func Digest(account primrosespar.Account, class primrosespar.Class, key string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(account), []byte(class), []byte(key), body} {
		_, _ = fmt.Fprintf(hash, "%d:", len(part))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// run serves POST /run.
func (s *Servicer) run(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "the body is cut short or too large", http.StatusBadRequest)
		return
	}
	if !s.take(w) {
		return
	}
	defer s.free()
	fault, number := s.count(r)
	class := primrosespar.Class(r.Header.Get("X-Class"))
	s.options.Clock.Sleep(s.options.ServiceTimes[class])
	account, key := primrosespar.Account(r.Header.Get("X-Account")), r.Header.Get("X-Request-Key")
	answer, _ := json.Marshal(struct {
		Digest string `json:"digest"`
		Number string `json:"number"`
	}{Digest(account, class, key, body), number})
	s.respond(w, fault, answer)
}

// take occupies a slot or refuses the request.
func (s *Servicer) take(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departure.LastRequest = s.options.Clock.Now()
	if !s.leaving && s.busy < s.options.Slots {
		s.busy++
		return true
	}
	s.refused++
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

// free gives the slot back.
func (s *Servicer) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// fault is what happens to one request.
type fault int

const (
	faultNone fault = iota
	faultSlow
	faultTruncated
	faultUnended
	faultClosed
	faultFailed
)

// count records the run, numbers it and chooses its fault.
func (s *Servicer) count(r *http.Request) (fault, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	account := primrosespar.Account(r.Header.Get("X-Account"))
	key := r.Header.Get("X-Request-Key")
	s.runs[RunCount{Account: account, Key: key}]++
	now := s.options.Clock.Now()
	number := fmt.Sprintf("%d-%d", now.UnixNano(), s.total)
	s.executions = append(s.executions, Execution{Account: account, Key: key, Number: number, At: now})
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		s.runs[RunCount{Account: account, Attempt: attempt}]++
	}
	m := s.options.Faults
	var seeded [16]byte
	binary.LittleEndian.PutUint64(seeded[:8], m.Seed)
	binary.LittleEndian.PutUint64(seeded[8:], s.total)
	drawn := float64(xxhash.Sum64(seeded[:])>>11) / (1 << 53)
	for i, share := range []float64{m.Slow, m.Truncated, m.Unended, m.Closed, m.Failed} {
		if drawn < share {
			return faultSlow + fault(i), number
		}
		drawn -= share
	}
	return faultNone, number
}

// respond sends the answer as the fault has it.
func (s *Servicer) respond(w http.ResponseWriter, f fault, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	switch f {
	case faultSlow:
		s.mu.Lock()
		slow := s.options.Faults.SlowTime
		s.mu.Unlock()
		s.options.Clock.Sleep(slow)
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

// misbehave serves PUT /admin/misbehaviour.
func (s *Servicer) misbehave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m Faults
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(m)
	w.WriteHeader(http.StatusNoContent)
}

// stats serves GET /stats.
func (s *Servicer) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := struct {
		Total   uint64     `json:"total"`
		Refused uint64     `json:"refused"`
		Runs    []RunCount `json:"runs"`
	}{s.total, s.refused, nil}
	for run, n := range s.runs {
		run.Runs = n
		doc.Runs = append(doc.Runs, run)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}

// listExecutions serves GET /admin/executions.
func (s *Servicer) listExecutions(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Record{Executions: s.executions, Departure: s.departure})
}

// Record answers GET /admin/executions.
type Record struct {
	Executions []Execution `json:"executions"`
	Departure  Departure   `json:"departure"`
}
