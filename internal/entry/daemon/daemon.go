// Package daemon puts the parts of an entry host together and runs them.
//
// # Usage
//
//	d := daemon.New(settings, daemon.Platform{Table: table, ...}, daemon.WithOnError(log))
//	err := d.Run(ctx) // serves until ctx ends, then stops gracefully
//
// A planned stop first makes the host unready, goes on serving until the
// balancer has noticed, then finishes what is in flight, gives the place lease
// back and writes what waits for the platform.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/certifier"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/limiter"
	"primrosespar.example/primrosespar/internal/member/messenger"
)

// Platform is the platform as this host reaches it.
type Platform struct {
	Table   primrosespar.Table
	Objects primrosespar.Objects
	Hosts   primrosespar.Hosts
	Workers primrosespar.Workers
}

// Options are the parts of a Daemon that have defaults.
type Options struct {
	Clock primrosespar.Clock
	// OnError is told of errors that the daemon goes on after.
	OnError func(part string, err error)
	// WithOnStarted is told of the bound addresses.
	OnStarted func(Addresses)
	// PublicTLS and PeerTLS encrypt the listeners; nil leaves them plain.
	PublicTLS *tls.Config
	PeerTLS   func() *tls.Config
	// WithKeys are read again while the daemon runs.
	Keys *certifier.Certifier
	// WithVersion is shown in the status.
	Version string
	// WithGrace is how long an unready host goes on taking new work, so that the
	// balancer notices first.
	Grace time.Duration
}

// Option sets one option.
type Option func(*Options)

// WithOnError sets who is told of errors.
func WithOnError(f func(part string, err error)) Option {
	return func(o *Options) { o.OnError = f }
}

// WithOnStarted sets who is told of the bound addresses.
func WithOnStarted(f func(Addresses)) Option {
	return func(o *Options) { o.OnStarted = f }
}

// WithKeys sets the keys of the listeners for callers and operators and of each
// new connection between hosts; with nil they are plain.
func WithKeys(keys *certifier.Certifier) Option {
	return func(o *Options) {
		if keys != nil {
			o.Keys, o.PublicTLS, o.PeerTLS = keys, keys.Public(), keys.Peers
		}
	}
}

// WithVersion sets the version that the status shows.
func WithVersion(v string) Option {
	return func(o *Options) { o.Version = v }
}

// WithGrace sets how long an unready host goes on taking new work.
func WithGrace(d time.Duration) Option {
	return func(o *Options) { o.Grace = d }
}

// Addresses are the bound addresses of a host.
type Addresses struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Peers     netip.AddrPort `json:"peers"`
}

// Daemon is one entry host process.
type Daemon struct {
	settings configurer.Settings
	platform Platform
	options  Options
}

// New returns a Daemon that is not running.
func New(settings configurer.Settings, platform Platform, opts ...Option) *Daemon {
	return &Daemon{settings: settings, platform: withCallTimeout(platform, settings.Timeouts.PlatformCall), options: newOptions(opts)}
}

// listeners are the three open listeners.
type listeners struct {
	callers, operators, peers net.Listener
}

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	open, err := d.openListeners(ctx)
	if err != nil {
		return err
	}
	host := d.newHost(open)
	if d.options.OnStarted != nil {
		d.options.OnStarted(open.addresses())
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	host.startLoops(workCtx, &wg)
	if keys := d.options.Keys; keys != nil {
		wg.Go(func() { keys.Run(workCtx) })
	}
	wg.Go(func() { d.report("peers", messenger.Serve(workCtx, open.peers, host, host.messengerOptions()...)) })
	callers := d.startHTTPServer(open.callers, host.server.Callers(), &wg)
	operators := d.startHTTPServer(open.operators, host.server.Operators(), &wg)

	<-ctx.Done()
	host.drain(context.WithoutCancel(ctx))
	d.shutdown(callers, operators)
	stop()
	wg.Wait()
	return host.close()
}

// Limits of every HTTP connection. The write limit is above the longest
// deadline that a caller may ask for.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 6 * time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

func (d *Daemon) startHTTPServer(l net.Listener, handler http.Handler, wg *conc.WaitGroup) *http.Server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         d.options.PublicTLS,
	}
	l = limiter.New(l, d.settings.Limits.Connections)
	if d.options.PublicTLS != nil {
		l = tls.NewListener(l, d.options.PublicTLS)
	}
	wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.report("listener", err)
		}
	})
	return s
}

// shutdown closes the HTTP servers after their last answers.
func (d *Daemon) shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.report("shutdown", err)
			_ = s.Close()
		}
	}
}

func (d *Daemon) openListeners(ctx context.Context) (listeners, error) {
	var open listeners
	var config net.ListenConfig
	for _, l := range []struct {
		at   netip.AddrPort
		into *net.Listener
	}{
		{d.settings.Listen.Callers, &open.callers},
		{d.settings.Listen.Operators, &open.operators},
		{d.settings.Listen.Peers, &open.peers},
	} {
		listener, err := config.Listen(ctx, "tcp", l.at.String())
		if err != nil {
			open.close()
			return open, eris.Wrapf(err, "listen on %s", l.at)
		}
		*l.into = listener
	}
	return open, nil
}

func (l listeners) close() {
	for _, open := range []net.Listener{l.callers, l.operators, l.peers} {
		if open != nil {
			_ = open.Close()
		}
	}
}

func (l listeners) addresses() Addresses {
	return Addresses{Callers: localAddress(l.callers), Operators: localAddress(l.operators), Peers: localAddress(l.peers)}
}

func localAddress(l net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(l.Addr().String())
	return address
}

// report passes an error on; the daemon goes on.
func (d *Daemon) report(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) && d.options.OnError != nil {
		d.options.OnError(part, err)
	}
}
