// Package server is the HTTP side of an entry host: callers, operators,
// health and metrics.
//
// # Usage
//
//	s := server.New(server.Parts{...})
//	http.Server{Handler: s.Callers()}   // what the balancer reaches
//	http.Server{Handler: s.Operators()} // what operators reach
//	s.Drain(ctx)                        // planned stop: waits for what is in flight
//
// Requests and answers are JSON in snake case, except the body of a call,
// which is passed through as it is. A refusal is
//
//	{"code":200,"name":"rate_limited","message":"...","ran":"not_run","request_id":"..."}
//
// with the codes of docs/codes.md.
package server

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/place/submitter"
)

// Parts are what a Server works with.
type Parts struct {
	Place primrosespar.Place
	// Places are those of the installation.
	Places     []primrosespar.Place
	Host       primrosespar.Host
	Clock      primrosespar.Clock
	Router     primrosespar.Router
	Contracts  primrosespar.ContractSource
	Authorizer *authorizer.Authorizer
	Meter      *meter.Meter
	Jobs       *submitter.Submitter
	// Mint returns a new key for the account.
	Mint func(account primrosespar.Account) (string, error)
	// NewID returns a random request id.
	NewID    func() primrosespar.RequestID
	Amender  *amender.Amender
	Objects  primrosespar.Objects
	Recorder primrosespar.Recorder
	// AllWorkers lists the workers of every place for the pack check.
	AllWorkers func(ctx context.Context) ([]primrosespar.WorkerEntry, error)
	// Status describes the place as this host sees it.
	Status func() caller.StatusAnswer
	// Flush writes the decision records that wait here.
	Flush func(ctx context.Context) error
	// Notify tells the holder of the place lease about a job.
	Notify func(place primrosespar.Place, id primrosespar.JobID)
}

// Server answers HTTP requests. It is safe for concurrent use.
type Server struct {
	parts            Parts
	options          Options
	draining         atomic.Bool
	requestsInFlight atomic.Int64
	// callsInFlight counts the requests that Options.MaxCalls bounds.
	callsInFlight atomic.Int64
}

// New returns a Server.
func New(parts Parts, opts ...Option) *Server {
	return &Server{parts: parts, options: newOptions(opts)}
}

// Callers returns the handler for callers and the balancer.
func (s *Server) Callers() http.Handler {
	mux := httprouter.New()
	s.registerCallerRoutes(mux)
	mux.GET("/v1/contracts/:account", s.authorized(s.showContract))
	mux.GET("/v1/explain/:id", s.authorized(s.explain))
	s.registerHealthRoutes(mux)
	return s.withRequestLimits(mux)
}

// registerCallerRoutes adds what callers do.
func (s *Server) registerCallerRoutes(mux *httprouter.Router) {
	mux.POST("/v1/requests/:class", s.withCallLimit(s.serveCall))
	mux.POST("/v1/keys", s.withCallLimit(s.mintKey))
	mux.POST("/v1/jobs", s.withCallLimit(s.submitJob))
	mux.GET("/v1/jobs", s.withCallLimit(s.listJobs))
	mux.GET("/v1/jobs/:id", s.withCallLimit(s.showJob))
	mux.DELETE("/v1/jobs/:id", s.withCallLimit(s.cancelJob))
}

// Operators returns the handler for operators, which also serves what callers
// may do, and the metrics.
func (s *Server) Operators() http.Handler {
	mux := httprouter.New()
	s.registerCallerRoutes(mux)
	mux.GET("/v1/contracts/:account", s.authorized(s.showContract))
	mux.PUT("/v1/contracts/:account", s.authorized(s.applyContract))
	mux.DELETE("/v1/contracts/:account", s.authorized(s.applyContract))
	mux.GET("/v1/contracts/:account/history", s.authorized(s.contractHistory))
	mux.POST("/v1/contracts/check", s.authorized(s.checkContract))
	mux.GET("/v1/status", s.authorized(s.status))
	mux.GET("/v1/explain/:id", s.authorized(s.explain))
	mux.GET("/v1/incidents", s.authorized(s.incidents))
	mux.GET("/metrics", s.metrics)
	s.registerHealthRoutes(mux)
	return s.withRequestLimits(mux)
}

func (s *Server) registerHealthRoutes(mux *httprouter.Router) {
	mux.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if code := s.readiness(); code != primrosespar.CodeOK {
			http.Error(w, code.String(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// readiness says whether the balancer should send work here. A host cut off
// from the table stays ready: it serves the offline terms, and so would every
// other host of the place.
func (s *Server) readiness() primrosespar.Code {
	if s.draining.Load() {
		return primrosespar.CodeDraining
	}
	if view, _ := s.parts.Contracts.View(); view.Revision == 0 {
		return primrosespar.CodeStarting
	}
	return primrosespar.CodeOK
}

// StartDrain makes the host unready; it goes on serving what arrives until
// the balancer has noticed.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Draining reports whether a planned stop is under way.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Drain waits until nothing is in flight.
func (s *Server) Drain(ctx context.Context) error {
	for s.requestsInFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.parts.Clock.After(drainPollInterval):
		}
	}
	return nil
}

// drainPollInterval is how often Drain looks.
const drainPollInterval = 20 * time.Millisecond

// withRequestLimits gives each request its id and bounds what it may cost before it is
// looked at.
func (s *Server) withRequestLimits(next *httprouter.Router) http.Handler {
	next.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, primrosespar.Fail(primrosespar.CodeNotFound, "the path %q does not exist", r.URL.Path))
	})
	next.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		failure := primrosespar.Fail(primrosespar.CodeBadRequest, "the path has no method %s; it has %s", r.Method, w.Header().Get("Allow"))
		s.writeRefusalWithStatus(w, http.StatusMethodNotAllowed, failure)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderRequestID, string(s.parts.NewID()))
		r.Body = http.MaxBytesReader(w, r.Body, s.options.MaxBody)
		next.ServeHTTP(w, r)
	})
}

// handlerFunc answers one authorized request.
type handlerFunc func(w http.ResponseWriter, r *http.Request, p httprouter.Params, id authorizer.Identity) error

// authorized wraps a handler with authorization and error answers.
func (s *Server) authorized(next handlerFunc) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.requestsInFlight.Add(1)
		defer s.requestsInFlight.Add(-1)
		id, err := s.parts.Authorizer.Authorize(r.Header.Get("Authorization"))
		if err == nil {
			err = next(w, r, p, id)
		}
		if err != nil {
			s.writeError(w, withUnknownRun(r, err))
		}
	}
}

// withUnknownRun takes back a "not run" that holds only for this request: with a key
// that the caller may have sent before, an earlier request may have run, and
// what refuses here has not read the key's row.
func withUnknownRun(r *http.Request, err error) error {
	var failure *primrosespar.Failure
	key := r.Header.Get(caller.HeaderRequestKey)
	validKey := key != "" && len(key) <= maxKeyBytes && printable(key)
	mayRepeat := validKey && r.Header.Get(caller.HeaderFirst) != "1"
	if mayRepeat && errors.As(err, &failure) && failure.Ran == primrosespar.RanNot {
		return primrosespar.FailUnknown(failure.Code, "%s (an earlier request with this key may have run)", failure.Message).WithCause(err)
	}
	return err
}

// withCallLimit wraps what callers do. Requests beyond the limit are refused before
// their body is read, so that a burst cannot use up the memory of the host;
// operators' commands are not counted and stay possible.
func (s *Server) withCallLimit(next handlerFunc) httprouter.Handle {
	serve := s.authorized(next)
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		defer s.callsInFlight.Add(-1)
		if s.callsInFlight.Add(1) > int64(s.options.MaxCalls) {
			s.writeBusy(w, r)
			return
		}
		serve(w, r, p)
	}
}

// writeBusy refuses a request for which the host has no room. The status differs
// from that of a full class queue (429), because the account did not cause it
// and another host may have room.
func (s *Server) writeBusy(w http.ResponseWriter, r *http.Request) {
	failure := primrosespar.Fail(primrosespar.CodeQueueFull, "the host serves its limit of %d requests", s.options.MaxCalls)
	s.writeRefusalWithStatus(w, http.StatusServiceUnavailable, asFailure(withUnknownRun(r, failure)))
}
