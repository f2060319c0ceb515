package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/executor"
)

// Topology adds to and removes from what the platform knows.
type Topology struct {
	Workers         []primrosespar.WorkerEntry   `json:"workers,omitempty"`
	Hosts           []primrosespar.HostEntry     `json:"hosts,omitempty"`
	Upstreams       []primrosespar.UpstreamEntry `json:"upstreams,omitempty"`
	RemoveHosts     []primrosespar.Host          `json:"remove_hosts,omitempty"`
	RemoveUpstreams []primrosespar.Upstream      `json:"remove_upstreams,omitempty"`
}

// WorkerFault changes the condition of one worker.
type WorkerFault struct {
	Worker primrosespar.Worker `json:"worker"`
	// Kind is kill, restore, fail_all, heal, unreachable, reachable or leaving.
	Kind string `json:"kind"`
}

// PlaceCut cuts a place off from the workers service or ends the cut. The cut
// from the store is one of keeper.Faults.
type PlaceCut struct {
	Place primrosespar.Place `json:"place"`
	Cut   bool               `json:"cut"`
}

// History is the events of all workers and the verdict on them.
type History struct {
	Events  []executor.Event `json:"events"`
	Summary executor.Summary `json:"verdict"`
}

// adminWorkers adds the routes of the topology and the workers' faults.
func (s *Server) adminWorkers() {
	handle(s, "/admin/topology", func(_ context.Context, t Topology) (any, error) {
		s.apply(t)
		return struct{}{}, nil
	})
	handle(s, "/admin/worker", func(_ context.Context, f WorkerFault) (any, error) {
		return struct{}{}, s.workerFault(f)
	})
	handle(s, "/admin/cut", func(_ context.Context, c PlaceCut) (any, error) {
		s.executor.SetCut(c.Place, c.Cut)
		return struct{}{}, nil
	})
	s.router.GET("/admin/history", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		ms, err := strconv.Atoi(r.URL.Query().Get("bound_ms"))
		if err != nil {
			s.answer(w, nil, primrosespar.Fail(primrosespar.CodeBadRequest, "bound_ms must be a number of milliseconds"))
			return
		}
		bound := time.Duration(ms) * time.Millisecond
		s.answer(w, History{Events: s.executor.History(), Summary: s.executor.Summary(bound)}, nil)
	})
}

func (s *Server) apply(t Topology) {
	for _, e := range t.Workers {
		s.executor.Add(e)
	}
	for _, e := range t.Hosts {
		s.keeper.SetHost(e)
	}
	for _, e := range t.Upstreams {
		s.keeper.SetUpstream(e)
	}
	for _, name := range t.RemoveHosts {
		s.keeper.RemoveHost(name)
	}
	for _, name := range t.RemoveUpstreams {
		s.keeper.RemoveUpstream(name)
	}
}

func (s *Server) workerFault(f WorkerFault) error {
	switch f.Kind {
	case "kill":
		return s.executor.Kill(f.Worker)
	case "restore":
		return s.executor.Restore(f.Worker)
	case "fail_all", "heal":
		return s.executor.SetFailAll(f.Worker, f.Kind == "fail_all")
	case "unreachable", "reachable":
		return s.executor.SetUnreachable(f.Worker, f.Kind == "unreachable")
	case "leaving":
		return s.executor.SetLeaving(f.Worker, true)
	default:
		return primrosespar.Fail(primrosespar.CodeBadRequest, "worker fault %q does not exist", f.Kind)
	}
}
