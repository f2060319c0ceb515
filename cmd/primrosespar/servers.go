package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/acceptor"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
	"primrosespar.example/primrosespar/platform"
)

// Names of the ports in logs and metrics.
const (
	callersPort   = "callers"
	readinessPort = "readiness"
	metricsPort   = "metrics"
	peersPort     = "peers"
)

// Shares of the host's memory and sockets that the connections of a port may
// take.
const (
	callersMemoryShare = 0.15
	peersMemoryShare   = 0.1
	// leaderSocketShare is that of a host that leads, which needs sockets for its
	// workers and peers.
	callersSocketShare = 0.375
	leaderSocketShare  = 0.25
	peersSocketShare   = 0.375
	// requestSocketShare is that of requests at work, each of which may use one
	// to the store. It is well below those of the connections, so that a new
	// client can displace one whose request waits for its turn.
	requestSocketShare = 0.08
	// probeConnections and probeBytes bound the ports for readiness probes and
	// metrics.
	probeConnections = 16
	probeBytes       = 1 << 20
)

// Limits of one connection. Those of the operator go first where there are any.
const (
	defaultHeadBytes   = 64 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
	bodyTimeout        = 10 * time.Second
	answerTimeout      = 10 * time.Second
	// idleMargin keeps the host from closing a connection at the moment at which
	// its client does.
	idleMargin = time.Second
	// messageTimeout bounds a message between hosts and its answer.
	messageTimeout = time.Minute
	// messageMargin is what a message between hosts may have beside a job.
	messageMargin = 256 << 10
	// maxHeadBytes and maxHeadTimeout are the limits of the HTTP server, whatever
	// the operator allows.
	maxHeadBytes   = 1 << 20
	maxHeadTimeout = time.Minute
	// receiveBuffer bounds what the kernel keeps of a connection that the host
	// does not read, in bytes.
	receiveBuffer = 32 << 10
)

// startServers starts the HTTP servers for callers, readiness checks and
// metrics.
func (h *fleetHost) startServers(ctx context.Context, wg *conc.WaitGroup) ([]*http.Server, error) {
	callerHandler := platform.NewHandler(h.daemon.JobService(), h.clock, h.logCall, h.daemon.Draining)
	var servers []*http.Server
	for _, server := range []struct {
		port    string
		address netip.AddrPort
		handler http.Handler
		limits  func() budgeter.Limits
		options []acceptor.Option
	}{
		{callersPort, h.settings.Callers, callerHandler, h.callerLimits, []acceptor.Option{
			acceptor.WithRequests(h.socketShare(requestSocketShare)), acceptor.WithDecoders(1),
		}},
		{readinessPort, h.settings.Readiness, h.newReadinessHandler(), probeLimits, nil},
		{metricsPort, h.settings.Metrics, h.newMetricsHandler(), probeLimits, nil},
	} {
		listener, err := listen(ctx, server.address)
		if err != nil {
			return nil, err
		}
		httpServer := &http.Server{Handler: server.handler, ReadHeaderTimeout: maxHeadTimeout, MaxHeaderBytes: maxHeadBytes}
		guarded := h.guard(server.port, listener, server.limits, server.options...)
		guarded.Configure(httpServer)
		servers = append(servers, httpServer)
		wg.Go(func() {
			if err := httpServer.Serve(guarded); err != nil && !eris.Is(err, http.ErrServerClosed) {
				h.logError("server", err)
			}
		})
	}
	wg.Go(func() { acceptor.Run(ctx, h.clock, h.guardedPorts) })
	return servers, nil
}

// listen opens the listener of a port.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without it, more is kept of a connection that is not read.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address.String())
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// guard returns the listener with a budget for its connections, which it logs
// and counts.
func (h *fleetHost) guard(port string, listener net.Listener, limits func() budgeter.Limits, opts ...acceptor.Option) *acceptor.Acceptor {
	budget := budgeter.New(limits())
	h.meter.Gauge(`primrosespar_connections{port="`+port+`"}`, func() float64 {
		connections, _ := budget.Usage()
		return float64(connections)
	})
	h.meter.Gauge(`primrosespar_connection_bytes{port="`+port+`"}`, func() float64 {
		_, bytes := budget.Usage()
		return float64(bytes)
	})
	guarded := acceptor.New(listener, budget, h.clock, append(opts,
		acceptor.WithLimits(limits),
		acceptor.WithOnCuts(func(cuts map[budgeter.Reason]int) { h.logCuts(port, cuts) }))...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ports = append(h.ports, guarded)
	return guarded
}

// guardPeers returns the listener for other hosts with a budget.
func (h *fleetHost) guardPeers(listener net.Listener) net.Listener {
	return h.guard(peersPort, listener, h.peerLimits)
}

// guardedPorts returns the ports with a budget.
func (h *fleetHost) guardedPorts() []*acceptor.Acceptor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ports)
}

// socketShare returns the share of the host's sockets.
func (h *fleetHost) socketShare(share float64) int { return int(share * float64(h.settings.Sockets)) }

// callerLimits returns the limits of the connections of clients.
func (h *fleetHost) callerLimits() budgeter.Limits {
	operator := h.operatorLimits()
	share := callersSocketShare
	if h.leading.Load() {
		share = leaderSocketShare
	}
	return budgeter.Limits{
		Connections: h.socketShare(share),
		Bytes:       int64(callersMemoryShare * float64(h.settings.Memory)),
		HeadBytes:   cmp.Or(operator.HeadBytes, defaultHeadBytes),
		HeadTimeout: cmp.Or(operator.HeadTimeout, defaultHeadTimeout),
		BodyTimeout: bodyTimeout, AnswerTimeout: answerTimeout,
		IdleTimeout: cmp.Or(operator.IdleTimeout, defaultIdleTimeout) + idleMargin,
	}
}

// operatorLimits returns the limits of the configuration in force.
func (h *fleetHost) operatorLimits() primrosespar.CallLimits {
	if catalog := h.daemon.JobService().Catalog(); catalog != nil {
		return catalog.Limits
	}
	return primrosespar.CallLimits{}
}

// peerLimits returns the limits of the connections of other hosts. A message
// holds at most one job, which has its caller's size without the names of its
// fields.
func (h *fleetHost) peerLimits() budgeter.Limits {
	return budgeter.Limits{
		Connections: h.socketShare(peersSocketShare),
		Bytes:       int64(peersMemoryShare * float64(h.settings.Memory)),
		HeadBytes:   cmp.Or(h.operatorLimits().BodyBytes, defaultBodyBytes) + messageMargin,
		HeadTimeout: messageTimeout, AnswerTimeout: answerTimeout,
	}
}

// probeLimits returns the limits of the connections of readiness probes and of
// those who read metrics.
func probeLimits() budgeter.Limits {
	return budgeter.Limits{
		Connections: probeConnections, Bytes: probeBytes, HeadBytes: defaultHeadBytes,
		HeadTimeout: defaultHeadTimeout, BodyTimeout: bodyTimeout, IdleTimeout: defaultIdleTimeout, AnswerTimeout: answerTimeout,
	}
}

// logCuts logs and counts the connections of a port that were cut in the last
// second.
func (h *fleetHost) logCuts(port string, cuts map[budgeter.Reason]int) {
	for reason, name := range budgeter.Reasons() {
		if n := cuts[reason]; n > 0 {
			h.meter.Cut(port, name, n)
			h.log.WithFields(logrus.Fields{"port": port, "reason": name, "count": n}).Warn("connections were cut")
		}
	}
}
