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

// Topology lists workers, hosts and upstreams to add to the platform or update,
// and hosts and upstreams to remove.
type Topology struct {
	Workers         []primrosespar.WorkerEntry   `json:"workers,omitempty"`
	Hosts           []primrosespar.HostEntry     `json:"hosts,omitempty"`
	Upstreams       []primrosespar.UpstreamEntry `json:"upstreams,omitempty"`
	RemoveHosts     []primrosespar.Host          `json:"remove_hosts,omitempty"`
	RemoveUpstreams []primrosespar.Upstream      `json:"remove_upstreams,omitempty"`
}

// WorkerFault starts or ends a fault of a worker.
type WorkerFault struct {
	Worker primrosespar.Worker `json:"worker"`
	// Kind is kill, restore, fail_all, heal, unreachable, reachable or leaving.
	Kind string `json:"kind"`
}

// PlaceCut cuts a place off from the worker service or ends the cut. To cut a
// place off from the store, set Cut of keeper.Faults.
type PlaceCut struct {
	Place primrosespar.Place `json:"place"`
	Cut   bool               `json:"cut"`
}

// History holds the events of all workers and their summary.
type History struct {
	Events  []executor.Event `json:"events"`
	Summary executor.Summary `json:"verdict"`
}

// addWorkerRoutes adds the routes of the topology, of the faults of workers and
// places, and of the history.
func (s *Server) addWorkerRoutes() {
	handle(s, "/admin/topology", func(_ context.Context, topology Topology) (any, error) {
		s.applyTopology(topology)
		return struct{}{}, nil
	})
	handle(s, "/admin/worker", func(_ context.Context, fault WorkerFault) (any, error) {
		return struct{}{}, s.applyWorkerFault(fault)
	})
	handle(s, "/admin/cut", func(_ context.Context, cut PlaceCut) (any, error) {
		s.executor.SetCut(cut.Place, cut.Cut)
		return struct{}{}, nil
	})
	s.router.GET("/admin/history", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		milliseconds, err := strconv.Atoi(r.URL.Query().Get("bound_ms"))
		if err != nil {
			s.respond(w, nil, primrosespar.Fail(primrosespar.CodeBadRequest, "bound_ms must be a number of milliseconds"))
			return
		}
		bound := time.Duration(milliseconds) * time.Millisecond
		s.respond(w, History{Events: s.executor.History(), Summary: s.executor.Summary(bound)}, nil)
	})
}

// applyTopology makes the changes in the keeper and the executor.
func (s *Server) applyTopology(topology Topology) {
	for _, entry := range topology.Workers {
		s.executor.Add(entry)
	}
	for _, entry := range topology.Hosts {
		s.keeper.SetHost(entry)
	}
	for _, entry := range topology.Upstreams {
		s.keeper.SetUpstream(entry)
	}
	for _, name := range topology.RemoveHosts {
		s.keeper.RemoveHost(name)
	}
	for _, name := range topology.RemoveUpstreams {
		s.keeper.RemoveUpstream(name)
	}
}

// applyWorkerFault starts or ends the fault of the worker.
func (s *Server) applyWorkerFault(fault WorkerFault) error {
	switch fault.Kind {
	case "kill":
		return s.executor.Kill(fault.Worker)
	case "restore":
		return s.executor.Restore(fault.Worker)
	case "fail_all", "heal":
		return s.executor.SetFailAll(fault.Worker, fault.Kind == "fail_all")
	case "unreachable", "reachable":
		return s.executor.SetUnreachable(fault.Worker, fault.Kind == "unreachable")
	case "leaving":
		return s.executor.SetLeaving(fault.Worker, true)
	default:
		return primrosespar.Fail(primrosespar.CodeBadRequest, "worker fault %q does not exist", fault.Kind)
	}
}
