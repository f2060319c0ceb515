// Package server serves the stand-in platform over HTTP: the table, object
// store and host list of package keeper and the workers of package executor.
//
// # Usage
//
//	handler := server.New(keeper, executor)
//	http.Serve(listener, handler)
//
// Callers name their place in the header X-Place. Besides the routes of the
// platform under /v1, there are:
//
//	PUT  /admin/faults   takes keeper.Faults
//	GET  /admin/counts   returns the totals of the keeper and the executor
//	POST /admin/topology takes a Topology
//	POST /admin/worker   takes a WorkerFault
//	POST /admin/cut      takes a PlaceCut
//	GET  /admin/history  returns a History; its bound is bound_ms
package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// Server is the http.Handler of the platform.
type Server struct {
	router   *httprouter.Router
	keeper   *keeper.Keeper
	executor *executor.Executor
}

// callRequest is the JSON body of every POST call under /v1 except a commit.
// Each call uses some of the fields.
type callRequest struct {
	Keys     []string               `json:"keys"`
	Prefix   string                 `json:"prefix"`
	After    string                 `json:"after"`
	Limit    int                    `json:"limit"`
	Place    primrosespar.Place     `json:"place"`
	Cursor   uint64                 `json:"cursor"`
	Token    primrosespar.Token     `json:"token"`
	Commands []primrosespar.Command `json:"commands"`
}

// New returns a Server for the keeper and the executor.
func New(k *keeper.Keeper, e *executor.Executor) *Server {
	s := &Server{router: httprouter.New(), keeper: k, executor: e}
	handle(s, "/v1/table/get", func(ctx context.Context, request callRequest) (any, error) {
		rows, err := k.Get(ctx, request.Keys...)
		return struct {
			Rows []primrosespar.Row `json:"rows"`
		}{rows}, err
	})
	handle(s, "/v1/table/scan", func(ctx context.Context, request callRequest) (any, error) {
		rows, err := k.Scan(ctx, request.Prefix, request.After, request.Limit)
		return struct {
			Rows []primrosespar.Row `json:"rows"`
		}{rows}, err
	})
	handle(s, "/v1/table/commit", func(ctx context.Context, txn primrosespar.Txn) (any, error) {
		// A commit delayed by Faults.Slow takes effect even if its caller has
		// disconnected.
		versions, err := k.Commit(context.WithoutCancel(ctx), txn)
		return struct {
			Versions []primrosespar.Version `json:"versions"`
		}{versions}, err
	})
	handle(s, "/v1/objects/names", func(ctx context.Context, request callRequest) (any, error) {
		names, err := k.Names(ctx, request.Prefix, request.After, request.Limit)
		return struct {
			Names []string `json:"names"`
		}{names}, err
	})
	handle(s, "/v1/hosts/list", func(ctx context.Context, request callRequest) (any, error) {
		return k.List(ctx, request.Place)
	})
	handle(s, "/v1/workers/changes", func(ctx context.Context, request callRequest) (any, error) {
		changed, cursor, err := e.Changes(ctx, request.Place, request.Cursor)
		return struct {
			Workers []primrosespar.WorkerEntry `json:"workers"`
			Cursor  uint64                     `json:"cursor"`
		}{changed, cursor}, err
	})
	handle(s, "/v1/workers/do", func(ctx context.Context, request callRequest) (any, error) {
		results, err := e.Do(ctx, request.Place, request.Token, request.Commands)
		return struct {
			Results []primrosespar.CommandResult `json:"results"`
		}{results}, err
	})
	s.addObjectRoutes()
	s.addFaultRoutes()
	s.addWorkerRoutes()
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// handle adds a POST route whose request and answer are JSON documents.
func handle[T any](s *Server, path string, call func(context.Context, T) (any, error)) {
	s.router.POST(path, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var request T
		err := json.NewDecoder(r.Body).Decode(&request)
		if err != nil {
			s.respond(w, nil, primrosespar.Fail(primrosespar.CodeBadSyntax, "cannot decode the request body").WithCause(err))
			return
		}
		document, err := call(callerContext(r), request)
		s.respond(w, document, err)
	})
}

// callerContext returns the request's context with the place of the caller,
// taken from X-Place.
func callerContext(r *http.Request) context.Context {
	return keeper.WithPlace(r.Context(), primrosespar.Place(r.Header.Get("X-Place")))
}

// respond sends the document, or the code and message of the error. It closes
// the connection without an answer if the answer is to be lost, and if the
// store is unavailable and Faults.Silent is set.
func (s *Server) respond(w http.ResponseWriter, document any, err error) {
	code := primrosespar.CodeOf(err)
	silent := code == primrosespar.CodeStoreUnavailable && s.keeper.Faults().Silent
	if code == primrosespar.CodeStoreUnknown || silent {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(code.Info().HTTP)
		document = struct {
			Code    primrosespar.Code `json:"code"`
			Message string            `json:"message"`
		}{code, messageWithoutCode(err)}
	}
	_ = json.NewEncoder(w).Encode(document)
}

// messageWithoutCode returns the message of a failure without the name of its
// code, which the client adds again.
func messageWithoutCode(err error) string {
	var failure *primrosespar.Failure
	if errors.As(err, &failure) {
		return failure.Message
	}
	return err.Error()
}

// addObjectRoutes adds the routes of the object store.
func (s *Server) addObjectRoutes() {
	s.router.PUT("/v1/objects", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = s.keeper.Put(callerContext(r), r.URL.Query().Get("name"), data)
		}
		s.respond(w, struct{}{}, err)
	})
	s.router.GET("/v1/objects", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		data, err := s.keeper.Fetch(callerContext(r), r.URL.Query().Get("name"))
		if err != nil {
			s.respond(w, nil, err)
			return
		}
		_, _ = w.Write(data)
	})
}

// addFaultRoutes adds the routes of the keeper's faults and of the totals.
func (s *Server) addFaultRoutes() {
	s.router.PUT("/admin/faults", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var faults keeper.Faults
		err := json.NewDecoder(r.Body).Decode(&faults)
		if err != nil {
			s.respond(w, nil, primrosespar.Fail(primrosespar.CodeBadSyntax, "cannot decode the faults").WithCause(err))
			return
		}
		s.keeper.SetFaults(faults)
		s.respond(w, struct{}{}, nil)
	})
	s.router.GET("/admin/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s.respond(w, struct {
			Store   keeper.Counts   `json:"store"`
			Workers executor.Counts `json:"workers"`
		}{s.keeper.Counts(), s.executor.Counts()}, nil)
	})
}
