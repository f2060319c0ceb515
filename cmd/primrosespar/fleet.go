package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/fleet/daemon"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
	"primrosespar.example/primrosespar/internal/fleet/viewer"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/internal/record/spooler"
	"primrosespar.example/primrosespar/platform"
)

// Times and bounds of the fleet daemon.
const (
	// drainTime is how long the host goes on taking connections after it has
	// become unready; the platform notices after two probes, a second apart.
	drainTime = 2500 * time.Millisecond
	// shutdownMargin is left of the grace for the end of the process.
	shutdownMargin = 700 * time.Millisecond
	// maxLease bounds the lease of a worker, so that the runs of a worker that
	// was lost start elsewhere within seconds; a change of holder takes two.
	maxLease = 6 * time.Second
	// memoryShare of the host's memory is the soft limit of the runtime.
	memoryShare = 0.6
	// headerTime and idleTime bound connections of callers.
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
)

// fleetCommands are the commands for a fleet; without another, the daemon runs.
type fleetCommands struct {
	Run fleetCommand `cmd:"" default:"withargs" help:"Run the scheduler of a fleet (default)."`
	handler.FleetCommands
}

// fleetCommand runs the scheduler of a fleet on the users' platform.
type fleetCommand struct {
	Settings string `help:"Settings file of this host; the platform names it in the environment." type:"path"`
	LogLevel string `help:"Least level that is logged." enum:"debug,info,warning,error" default:"info"`
	// MetricsPort is fixed in the deploy file, because the platform draws the
	// ports of the settings anew.
	MetricsPort uint16 `help:"Port of the metrics; a free one of the settings by default."`
	Check       bool   `help:"Check the settings and stop."`
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
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	spool := spooler.New(os.Stdout)
	defer func() { _ = spool.Close() }()
	f := &fleet{settings: settings, meter: meter.New(), clock: clockwork.NewRealClock()}
	f.log = newFleetLog(spool, c.LogLevel, settings)
	f.meter.Gauge("primrosespar_log_lines_dropped", func() float64 { return float64(spool.Dropped()) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return f.run(signals, path)
}

// newFleetLog returns a logger of JSON lines.
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

// fleet is the running daemon with its servers.
type fleet struct {
	settings platform.Settings
	log      *logrus.Entry
	meter    *meter.Meter
	clock    primrosespar.Clock
	daemon   *daemon.Daemon
}

// run serves until a signal asks for the end.
func (f *fleet) run(signals <-chan os.Signal, path string) error {
	client := platform.New(f.settings, func(entry, why string) {
		f.log.WithFields(logrus.Fields{"worker": entry, "reason": why}).Warn("entry of a worker was left out")
	})
	backend := daemon.Backend{Table: client, Source: client, Fleet: client}
	if f.settings.HasMachines() {
		backend.Maintenance = client
	}
	d, err := daemon.New(daemon.Settings{
		Host: f.settings.Host, Peers: f.settings.Peers, Weight: f.settings.Cores,
		Lease: min(maxLease, f.settings.LongestLease), GangTimeout: f.settings.GangTimeout,
		ConfigBound: f.settings.ConfigBound, KeyBound: f.settings.KeyBound,
	}, backend,
		daemon.WithClock(f.clock), daemon.WithLog(f.decided, f.changed, f.failed))
	if err != nil {
		return err
	}
	f.daemon = d
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() {
		if err := d.Run(ctx); err != nil {
			f.failed("daemon", err)
		}
	})
	servers, err := f.listen(ctx, &tasks)
	if err != nil {
		return err
	}
	f.log.WithFields(logrus.Fields{
		"callers": f.settings.Callers.String(), "peers": f.settings.Peers.String(), "metrics": f.settings.Metrics.String(),
	}).Info("host has started")
	if f.settings.Heartbeats {
		f.log.Warn("workers take orders with their heartbeats only; no task will start")
	}
	f.await(signals, path)
	f.stop(ctx, servers)
	f.log.Info("host has stopped")
	return nil
}

// listen starts the servers for callers, readiness and metrics.
func (f *fleet) listen(ctx context.Context, tasks *conc.WaitGroup) ([]*http.Server, error) {
	front := platform.NewHandler(f.daemon.JobService(), f.clock, f.called, f.daemon.Draining)
	var servers []*http.Server
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{f.settings.Callers, front},
		{f.settings.Readiness, f.readiness()},
		{f.settings.Metrics, f.metrics()},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen at %s", s.address)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
		servers = append(servers, server)
		tasks.Go(func() {
			if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
				f.failed("server", err)
			}
		})
	}
	return servers, nil
}

// readiness answers the platform's probes.
func (f *fleet) readiness() http.Handler {
	router := httprouter.New()
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !f.daemon.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// metrics serves counters, histograms and what the host knows of the fleet.
func (f *fleet) metrics() http.Handler {
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		f.meter.Write(w)
	})
	viewer.New(f.daemon).Register(router)
	return router
}

// await returns once a signal asks for the end. SIGHUP reads the settings
// again; what they change takes effect at the next start.
func (f *fleet) await(signals <-chan os.Signal, path string) {
	for s := range signals {
		if s != syscall.SIGHUP {
			f.log.WithField("signal", s.String()).Info("host is stopping")
			return
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			f.failed("reload", err)
			continue
		}
		f.log.WithField("changed", settings != f.settings).Info("settings were read again")
	}
}

// stop hands over, lets callers finish and closes the servers.
func (f *fleet) stop(ctx context.Context, servers []*http.Server) {
	began := f.clock.Now()
	f.daemon.Drain(ctx)
	if left := drainTime - f.clock.Since(began); left > 0 {
		f.clock.Sleep(left)
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.Grace-shutdownMargin-f.clock.Since(began))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			f.failed("stop", err)
		}
	}
}

// called logs and counts one call.
func (f *fleet) called(call platform.Call) {
	f.meter.Call(call.Account, primrosespar.Class(call.Queue), call.Code, call.Took)
	if call.Job == "" && call.Err == nil {
		// Counts of a queue are asked for all the time and decide nothing.
		return
	}
	entry := f.log.WithFields(logrus.Fields{
		"request_id": call.RequestID, "method": call.Method, "queue": call.Queue, "account": call.Account,
		"job": call.Job, "catalog_version": call.Version, "status": call.Status, "code": call.Code.String(),
		"took_ms": call.Took.Milliseconds(),
	})
	if call.Err != nil {
		entry = entry.WithField("reason", call.Err.Error())
	}
	entry.Info("call answered")
}

// decided logs and counts one decision of the scheduler.
func (f *fleet) decided(e scheduler.Event) {
	f.meter.Decision(primrosespar.DecisionKind(e.Kind), primrosespar.CodeOK)
	f.log.WithFields(logrus.Fields{
		"decision": e.Kind, "job": e.Job, "worker": e.Worker, "run": e.Run, "detail": e.Detail,
	}).Info("decision")
}

// changed logs a change of what the host believes.
func (f *fleet) changed(what, detail string) {
	f.log.WithFields(logrus.Fields{"what": what, "detail": detail}).Info("state changed")
}

// failed logs an error that the host goes on after.
func (f *fleet) failed(part string, err error) { logFailure(f.log, part, err) }
