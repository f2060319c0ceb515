// Package server serves the HTTP interface of an entry host: requests and jobs
// of callers, commands of operators, health checks and metrics.
//
// # Usage
//
//	s := server.New(server.Parts{...})
//	http.Server{Handler: s.Callers()}   // behind the load balancer
//	http.Server{Handler: s.Operators()} // for operators only
//	s.StartDrain()                      // planned stop: fails the readiness check
//	s.Drain(ctx)                        // waits for the requests in flight
//
// Requests and responses are JSON in snake case, except the body of a call,
// which is passed through unchanged. A refusal is
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

// Parts are the dependencies of a Server.
type Parts struct {
	Place primrosespar.Place
	// Places are all places of the installation.
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
	// AllWorkers lists the workers of every place, to check that the guarantees
	// of all contracts fit.
	AllWorkers func(ctx context.Context) ([]primrosespar.WorkerEntry, error)
	// Status returns the state of the place as this host knows it.
	Status func() caller.StatusAnswer
	// Flush writes the decision records that this host has buffered.
	Flush func(ctx context.Context) error
	// Notify tells the holder of the place lease about a new or cancelled job.
	Notify func(place primrosespar.Place, id primrosespar.JobID)
}

// Server answers HTTP requests. It is safe for concurrent use.
type Server struct {
	parts            Parts
	options          Options
	draining         atomic.Bool
	requestsInFlight atomic.Int64
	// callerRequestsInFlight counts the requests that Options.MaxCallerRequests
	// limits.
	callerRequestsInFlight atomic.Int64
}

// New returns a Server that is not draining.
func New(parts Parts, opts ...Option) *Server {
	return &Server{parts: parts, options: newOptions(opts)}
}

// Callers returns the handler for callers and the load balancer.
func (s *Server) Callers() http.Handler {
	mux := httprouter.New()
	s.registerCallerRoutes(mux)
	mux.GET("/v1/contracts/:account", s.authenticated(s.showContract))
	mux.GET("/v1/explain/:id", s.authenticated(s.showExplanation))
	s.registerHealthRoutes(mux)
	return s.withRequestLimits(mux)
}

// registerCallerRoutes adds the routes that count towards
// Options.MaxCallerRequests.
func (s *Server) registerCallerRoutes(mux *httprouter.Router) {
	mux.POST("/v1/requests/:class", s.withCallerRequestLimit(s.serveCall))
	mux.POST("/v1/keys", s.withCallerRequestLimit(s.mintKey))
	mux.POST("/v1/jobs", s.withCallerRequestLimit(s.submitJob))
	mux.GET("/v1/jobs", s.withCallerRequestLimit(s.listJobs))
	mux.GET("/v1/jobs/:id", s.withCallerRequestLimit(s.showJob))
	mux.DELETE("/v1/jobs/:id", s.withCallerRequestLimit(s.cancelJob))
}

// Operators returns the handler for operators. It also serves the routes of
// callers and the metrics.
func (s *Server) Operators() http.Handler {
	mux := httprouter.New()
	s.registerCallerRoutes(mux)
	mux.GET("/v1/contracts/:account", s.authenticated(s.showContract))
	mux.PUT("/v1/contracts/:account", s.authenticated(s.applyContract))
	mux.DELETE("/v1/contracts/:account", s.authenticated(s.applyContract))
	mux.GET("/v1/contracts/:account/history", s.authenticated(s.showContractHistory))
	mux.POST("/v1/contracts/check", s.authenticated(s.checkContract))
	mux.GET("/v1/status", s.authenticated(s.showStatus))
	mux.GET("/v1/explain/:id", s.authenticated(s.showExplanation))
	mux.GET("/v1/incidents", s.authenticated(s.showIncidents))
	mux.GET("/metrics", s.showMetrics)
	s.registerHealthRoutes(mux)
	return s.withRequestLimits(mux)
}

// registerHealthRoutes adds the health and readiness checks.
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

// readiness returns CodeOK if the load balancer should send requests to this
// host, and the reason otherwise. A host that cannot reach the table stays
// ready: it serves requests under the offline terms, as all other hosts of the
// place would.
func (s *Server) readiness() primrosespar.Code {
	if s.draining.Load() {
		return primrosespar.CodeDraining
	}
	if view, _ := s.parts.Contracts.View(); view.Revision == 0 {
		return primrosespar.CodeStarting
	}
	return primrosespar.CodeOK
}

// StartDrain fails the readiness check and refuses new jobs. Requests are still
// served, because the load balancer sends them until it has noticed.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Draining reports whether StartDrain has been called.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Drain waits until no request is in flight or ctx is done.
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

// drainPollInterval is the time between checks by Drain.
const drainPollInterval = 20 * time.Millisecond

// withRequestLimits gives each request its id and limits its body, and refuses
// unknown paths and methods.
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

// handlerFunc serves one authenticated request. It either responds or returns
// an error.
type handlerFunc func(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error

// authenticated wraps a handler with authentication and the response to errors.
func (s *Server) authenticated(next handlerFunc) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		s.requestsInFlight.Add(1)
		defer s.requestsInFlight.Add(-1)
		identity, err := s.parts.Authorizer.Authorize(r.Header.Get("Authorization"))
		if err == nil {
			err = next(w, r, params, identity)
		}
		if err != nil {
			s.writeError(w, withUnknownRun(r, err))
		}
	}
}

// withUnknownRun replaces "not run" by "unknown" if the caller may have sent
// the request key before. This request did not run, but an earlier one may
// have, and the refusal came before the key's row was read.
func withUnknownRun(r *http.Request, err error) error {
	var failure *primrosespar.Failure
	key := r.Header.Get(caller.HeaderRequestKey)
	validKey := key != "" && len(key) <= maxKeyBytes && isPrintable(key)
	mayRepeat := validKey && r.Header.Get(caller.HeaderFirstAttempt) != "1"
	if mayRepeat && errors.As(err, &failure) && failure.Ran == primrosespar.RanNot {
		return primrosespar.FailUnknown(failure.Code, "%s (an earlier request with this key may have run)", failure.Message).WithCause(err)
	}
	return err
}

// withCallerRequestLimit wraps a handler of callers. Requests above the limit
// are refused before their body is read, so that a burst cannot exhaust the
// memory of the host. Operator commands are not counted and stay possible.
func (s *Server) withCallerRequestLimit(next handlerFunc) httprouter.Handle {
	serve := s.authenticated(next)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		defer s.callerRequestsInFlight.Add(-1)
		if s.callerRequestsInFlight.Add(1) > int64(s.options.MaxCallerRequests) {
			s.writeBusy(w, r)
			return
		}
		serve(w, r, params)
	}
}

// writeBusy refuses a request above the limit of the host. The status is 503
// and not 429 as for a full class queue, because the account did not cause it
// and another host may have capacity.
func (s *Server) writeBusy(w http.ResponseWriter, r *http.Request) {
	failure := primrosespar.Fail(primrosespar.CodeQueueFull, "the host has reached its limit of %d requests", s.options.MaxCallerRequests)
	s.writeRefusalWithStatus(w, http.StatusServiceUnavailable, asFailure(withUnknownRun(r, failure)))
}
