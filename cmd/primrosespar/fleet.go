package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/acceptor"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/fleet/daemon"
	"primrosespar.example/primrosespar/internal/fleet/emptier"
	"primrosespar.example/primrosespar/internal/fleet/lessor"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
	"primrosespar.example/primrosespar/internal/fleet/viewer"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/internal/record/spooler"
	"primrosespar.example/primrosespar/platform"
)

// Timeouts and limits of the fleet daemon.
const (
	// drainDuration is how long the host accepts connections after its
	// readiness check fails. The platform notices after two probes, a second
	// apart.
	drainDuration = 2500 * time.Millisecond
	// shutdownMargin is the part of the platform's grace period that is left
	// for the process to exit.
	shutdownMargin = 700 * time.Millisecond
	// memoryLimitShare is the share of the host's memory that the Go runtime
	// gets as its soft limit.
	memoryLimitShare = 0.6
	// jobMemoryShare is the share of the host's memory that live jobs may use
	// beside their running tasks.
	jobMemoryShare = 0.25
	// leadingGCPercent is the garbage collector's target while the host leads.
	// The scheduler keeps much live memory, so that collecting at the usual
	// target costs a quarter of the processor time; the memory limit still
	// holds.
	leadingGCPercent = 400
	defaultGCPercent = 100
	// minFirstPolls is the minimum of the idle workers that a new holder polls
	// at once.
	minFirstPolls = 16
)

// fleetCommands are the commands for a fleet. The default is to run the daemon.
type fleetCommands struct {
	Run   fleetCommand `cmd:"" default:"withargs" help:"Run the scheduler of a fleet (default)."`
	Check fleetCheck   `cmd:"" help:"Check a configuration before it is sent; sends nothing."`
	handler.FleetCommands
}

// fleetCommand runs the scheduler of a fleet on the users' platform.
type fleetCommand struct {
	Settings string `help:"Settings file of this host; the platform names it in the environment." type:"path"`
	LogLevel string `help:"Least level that is logged." enum:"debug,info,warning,error" default:"info"`
	// MetricsPort is set in the deployment file, because the platform assigns
	// the ports in the settings anew.
	MetricsPort uint16 `help:"Port of the metrics; a free one of the settings by default."`
	// OperatorToken is set in the deployment file, because the settings of the
	// platform name no operators.
	OperatorToken string `help:"File that holds the token of operators, who may then evacuate places with the commands of the product." type:"path" placeholder:"FILE"`
	Check         bool   `help:"Check the settings and stop."`
}

// Run serves until SIGTERM or SIGINT and then stops gracefully.
func (c *fleetCommand) Run(*handler.Env) error {
	runtime.GOMAXPROCS(1)
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if c.Check {
		return nil
	}
	if c.MetricsPort > 0 {
		settings.Metrics = netip.AddrPortFrom(settings.Metrics.Addr(), c.MetricsPort)
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	spool := spooler.New(os.Stdout)
	defer func() { _ = spool.Close() }()
	host := &fleetHost{settings: settings, meter: meter.New(), clock: clockwork.NewRealClock()}
	if host.operators, err = readOperatorToken(c.OperatorToken); err != nil {
		return err
	}
	host.log = newFleetLog(spool, c.LogLevel, settings)
	host.meter.Gauge("primrosespar_log_lines_dropped", func() float64 { return float64(spool.Dropped()) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return host.serve(signals, path)
}

// newFleetLog returns the logger of a fleet host, which writes JSON lines.
func newFleetLog(spool *spooler.Spooler, level string, s platform.Settings) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(spool)
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log.WithFields(logrus.Fields{"host": s.Host, "place": s.Place})
}

// fleetHost is a running fleet daemon with its HTTP servers.
type fleetHost struct {
	settings platform.Settings
	log      *logrus.Entry
	meter    *meter.Meter
	clock    primrosespar.Clock
	daemon   *daemon.Daemon
	// leading is set during a term of this host.
	leading atomic.Bool

	mu sync.Mutex
	// ports are the open ports with a budget.
	ports []*acceptor.Acceptor
	// operators is nil without a token of operators.
	operators *authorizer.Authorizer
}

// serve runs the daemon and its servers until a signal stops them.
func (h *fleetHost) serve(signals <-chan os.Signal, path string) error {
	client := platform.New(h.settings, func(key, reason string) {
		h.log.WithFields(logrus.Fields{"worker": key, "reason": reason}).Warn("skipped an unusable worker entry")
	})
	backend := daemon.Backend{Table: client, Source: client, Fleet: client, Evacuations: client}
	if h.settings.HasMachines() {
		backend.Maintenance = client
	}
	elapsed, err := stopwatch.New()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	fleetDaemon, err := daemon.New(daemon.Settings{
		MaxFirstPolls: max(minFirstPolls, int(float64(controller.DefaultMaxFirstPolls)*h.settings.Cores)),
		Host:          h.settings.Host, PeerAddress: h.settings.Peers, Weight: h.settings.Cores,
		JobMemory: int64(jobMemoryShare * float64(h.settings.Memory)),
		Lease:     min(lessor.DefaultLease, h.settings.LongestLease), GangTimeout: h.settings.GangTimeout,
		TurnInterval: h.settings.TurnInterval, LongestLease: h.settings.LongestLease,
		CatalogApplyTimeout: h.settings.ConfigBound, MaxCatalogAge: h.settings.KeyBound,
		EvacuationBound: h.settings.EvacuationBound, AssessWorkers: h.settings.DoubtfulWorkers, Places: slices.Sorted(maps.Keys(h.settings.Places)),
	}, backend,
		daemon.WithClock(h.clock), daemon.WithStopwatch(elapsed), daemon.WithLog(h.logDecision, h.logChange, h.logError), daemon.WithOnTerm(h.changeTerm), daemon.WithPeerListener(h.guardPeers))
	if err != nil {
		return err
	}
	h.daemon = fleetDaemon
	h.registerGauges(fleetDaemon)
	wg.Go(func() {
		if err := fleetDaemon.Run(ctx); err != nil {
			h.logError("daemon", err)
		}
	})
	servers, err := h.startServers(ctx, &wg)
	if err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{
		"callers": h.settings.Callers.String(), "peers": h.settings.Peers.String(), "metrics": h.settings.Metrics.String(),
	}).Info("host has started")
	if h.settings.Heartbeats {
		h.log.Warn("workers take orders only with their heartbeats, which is not supported; no task will start")
	}
	h.waitForStop(signals, path)
	h.stop(ctx, servers)
	h.log.Info("host has stopped")
	return nil
}

// registerGauges registers what operators read from the daemon.
func (h *fleetHost) registerGauges(fleetDaemon *daemon.Daemon) {
	h.meter.Gauge("primrosespar_catalog_version", func() float64 {
		version, _ := fleetDaemon.Catalog()
		return float64(version)
	})
	h.meter.Gauge("primrosespar_catalog_unconfirmed_seconds", func() float64 {
		_, age := fleetDaemon.Catalog()
		return age.Seconds()
	})
	h.meter.Gauge("primrosespar_fleet_no_service_seconds", func() float64 {
		age, _ := fleetDaemon.Interruption()
		return age.Seconds()
	})
	h.meter.Gauge("primrosespar_fleet_calls_held", func() float64 {
		_, held := fleetDaemon.Interruption()
		return float64(held)
	})
	h.meter.Gauge("primrosespar_fleet_lease_unconfirmed_seconds", func() float64 {
		return fleetDaemon.UnconfirmedTime().Seconds()
	})
	h.addEvacuationMetrics()
	for _, cause := range primrosespar.LossCauses() {
		h.meter.Gauge(fmt.Sprintf(`primrosespar_fleet_lost_core_seconds{cause=%q}`, cause), func() float64 {
			return fleetDaemon.LostWork(cause)
		})
	}
}

// changeTerm adapts the host to the begin or the end of a term: the target of
// the garbage collector and the connections of clients.
func (h *fleetHost) changeTerm(leading bool) {
	h.leading.Store(leading)
	if leading {
		debug.SetGCPercent(leadingGCPercent)
		return
	}
	debug.SetGCPercent(defaultGCPercent)
}

// newReadinessHandler returns the handler of the platform's readiness probes.
func (h *fleetHost) newReadinessHandler() http.Handler {
	router := httprouter.New()
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !h.daemon.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// newMetricsHandler returns the handler of metrics and of the fleet views for
// operators.
func (h *fleetHost) newMetricsHandler() http.Handler {
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		h.meter.Write(w)
	})
	viewer.New(h.daemon).Register(router)
	emptier.New(h.daemon, h.operators).Register(router)
	return router
}

// waitForStop returns once a signal other than SIGHUP arrives. SIGHUP only
// checks the settings and logs whether they have changed; changes take effect
// at the next start.
func (h *fleetHost) waitForStop(signals <-chan os.Signal, path string) {
	for received := range signals {
		if received != syscall.SIGHUP {
			h.log.WithField("signal", received.String()).Info("host is stopping")
			return
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			h.logError("reload", err)
			continue
		}
		h.log.WithField("changed", !reflect.DeepEqual(settings, h.settings)).Info("settings were read again")
	}
}

// stop hands the fleet lease over, waits for the calls in flight and closes the
// servers.
func (h *fleetHost) stop(ctx context.Context, servers []*http.Server) {
	started := h.clock.Now()
	h.daemon.Drain(ctx)
	if remaining := drainDuration - h.clock.Since(started); remaining > 0 {
		h.clock.Sleep(remaining)
	}
	ctx, cancel := context.WithTimeout(ctx, h.settings.Grace-shutdownMargin-h.clock.Since(started))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			h.logError("stop", err)
		}
	}
}

// logCall logs a call and updates its metrics.
func (h *fleetHost) logCall(call platform.Call) {
	h.meter.Call(call.Account, primrosespar.Class(call.Queue), call.Code, call.Took)
	if call.RetryAfter > 0 {
		h.meter.RetryAfter(call.Account, primrosespar.Class(call.Queue), call.RetryAfter)
	}
	if call.Job == "" && call.Err == nil {
		// Successful calls without a job only read the counts of a queue. They
		// are too frequent to log.
		return
	}
	entry := h.log.WithFields(logrus.Fields{
		"request_id": call.RequestID, "method": call.Method, "queue": call.Queue, "account": call.Account,
		"job": call.Job, "catalog_version": call.Version, "status": call.Status, "code": call.Code.String(),
		"took_ms": call.Took.Milliseconds(),
	})
	if call.RetryAfter > 0 {
		entry = entry.WithField("retry_after_s", int(call.RetryAfter.Seconds()))
	}
	if call.Err != nil {
		entry = entry.WithField("reason", call.Err.Error())
	}
	entry.Info("call answered")
}

// logDecision logs and counts a decision of the scheduler.
func (h *fleetHost) logDecision(event scheduler.Event) {
	h.meter.Decision(primrosespar.DecisionKind(event.Kind), primrosespar.CodeOK)
	h.log.WithFields(logrus.Fields{
		"decision": event.Kind, "job": event.Job, "worker": event.Worker, "run": event.Run, "detail": event.Detail,
	}).Info("decision")
}

// logChange logs a change of the state that the host assumes.
func (h *fleetHost) logChange(subject, detail string) {
	h.log.WithFields(logrus.Fields{"what": subject, "detail": detail}).Info("state changed")
}

// logError logs an error that does not stop the host.
func (h *fleetHost) logError(part string, err error) { logError(h.log, part, err) }
