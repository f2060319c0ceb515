package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/certifier"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/daemon"
	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/internal/service/commander"
	"primrosespar.example/primrosespar/internal/service/tabler"
)

// entryCommand runs the daemon of an entry host until a signal stops it.
type entryCommand struct {
	Settings string `arg:"" help:"Settings file of this host." type:"path"`
	LogLevel string `help:"Least level that is logged." enum:"debug,info,warning,error" default:"info"`
}

// Run serves until SIGTERM or SIGINT and then stops gracefully.
func (c *entryCommand) Run(*handler.Env) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	settings, err := configurer.Parse(data)
	if err != nil {
		return err
	}
	log := newEntryLog(os.Stderr, c.LogLevel, settings)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	keys, err := loadKeys(settings, log)
	if err != nil {
		return err
	}
	elapsed, err := stopwatch.New()
	if err != nil {
		return err
	}
	err = daemon.New(settings, newPlatform(settings, keys),
		daemon.WithStopwatch(elapsed),
		daemon.WithKeys(keys),
		daemon.WithVersion(handler.Version),
		daemon.WithOnError(func(part string, err error) { logError(log, part, err) }),
		daemon.WithOnStarted(func(a daemon.Addresses) {
			log.WithFields(logrus.Fields{
				"callers": a.Callers.String(), "operators": a.Operators.String(), "peers": a.Peers.String(),
			}).Info("host is listening")
		}),
	).Run(ctx)
	if err != nil {
		return err
	}
	log.Info("host has stopped")
	return nil
}

// loadKeys reads the TLS files. It returns nil if TLS is disabled.
func loadKeys(s configurer.Settings, log *logrus.Entry) (*certifier.Certifier, error) {
	if !s.TLS.Enabled() {
		return nil, nil
	}
	return certifier.New(certifier.Files(s.TLS),
		certifier.WithOnError(func(err error) { logError(log, "tls", err) }))
}

// newPlatform returns the clients of the platform's services. With keys, they
// trust only the authority of the settings.
func newPlatform(s configurer.Settings, keys *certifier.Certifier) daemon.Platform {
	timeout := s.Timeouts.PlatformCall
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if keys != nil {
		transport = keys.Transport()
	}
	return daemon.Platform{
		Table:   tabler.New(s.Platform.Table, s.Place, tabler.WithTimeout(timeout), tabler.WithTransport(transport)),
		Objects: tabler.New(s.Platform.Objects, s.Place, tabler.WithTimeout(timeout), tabler.WithTransport(transport)),
		Hosts:   tabler.New(s.Platform.Hosts, s.Place, tabler.WithTimeout(timeout), tabler.WithTransport(transport)),
		Workers: commander.New(s.Platform.Workers, s.Place, commander.WithTimeout(timeout), commander.WithTransport(transport)),
	}
}

// newEntryLog returns the logger of an entry host, which writes JSON lines with
// fields in snake case.
func newEntryLog(out io.Writer, level string, s configurer.Settings) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "message"}})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log.WithFields(logrus.Fields{"host": s.Host, "place": s.Place})
}

// logError logs an error that does not stop the daemon: a warning if it has a
// result code, an error otherwise.
func logError(log *logrus.Entry, part string, err error) {
	code := primrosespar.CodeOf(err)
	entry := log.WithFields(logrus.Fields{"part": part, "code": int(code), "name": code.String()})
	var failure *primrosespar.Failure
	if errors.As(err, &failure) {
		entry.Warn(err.Error())
		return
	}
	entry.Error(err.Error())
}
