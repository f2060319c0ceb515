// Package daemon assembles the components of an entry host and runs them.
//
// # Usage
//
//	d := daemon.New(settings, daemon.Platform{Table: table, ...}, daemon.WithOnError(logError))
//	err := d.Run(ctx) // serves until ctx is done, then stops gracefully
//
// A graceful stop fails the readiness check, goes on serving until the load
// balancer has noticed, waits for the requests in flight, writes the queued
// outcomes of claims, releases the place lease and writes the buffered decision
// records.
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
	"primrosespar.example/primrosespar/internal/entry/acceptor"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
	"primrosespar.example/primrosespar/internal/entry/certifier"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/limiter"
	"primrosespar.example/primrosespar/internal/member/messenger"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Table   primrosespar.Table
	Objects primrosespar.Objects
	Hosts   primrosespar.Hosts
	Workers primrosespar.Workers
}

// Options are the optional parts of a Daemon.
type Options struct {
	Clock primrosespar.Clock
	// Stopwatch measures the age of contracts and the time without contact to
	// other hosts. Without one, suspensions of the machine do not count.
	Stopwatch primrosespar.Stopwatch
	// OnError receives the errors that do not stop the daemon, with the name of
	// the part that failed.
	OnError func(part string, err error)
	// OnStarted receives the addresses of the listeners once they are open.
	OnStarted func(Addresses)
	// PublicTLS is the TLS configuration of the listeners for callers and
	// operators, PeerTLS that of each new connection between hosts. Without
	// them, connections are not encrypted.
	PublicTLS *tls.Config
	PeerTLS   func() *tls.Config
	// Keys are reloaded while the daemon runs.
	Keys *certifier.Certifier
	// Version is shown in the status.
	Version string
	// Grace is the time between the failing readiness check and the start of
	// the drain, in which the load balancer notices.
	Grace time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

// WithStopwatch sets the stopwatch that measures the age of contracts and the
// time without contact to other hosts.
func WithStopwatch(s primrosespar.Stopwatch) Option {
	return func(o *Options) { o.Stopwatch = s }
}

// WithOnError sets the function that receives errors.
func WithOnError(f func(part string, err error)) Option {
	return func(o *Options) { o.OnError = f }
}

// WithOnStarted sets the function that receives the addresses of the listeners.
func WithOnStarted(f func(Addresses)) Option {
	return func(o *Options) { o.OnStarted = f }
}

// WithKeys enables TLS with the keys on the listeners for callers and operators
// and on connections between hosts. With nil it does nothing.
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

// WithGrace sets the time between the failing readiness check and the start of
// the drain.
func WithGrace(d time.Duration) Option {
	return func(o *Options) { o.Grace = d }
}

// Addresses are the addresses of a host's open listeners.
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

// listeners are the open listeners of a host.
type listeners struct {
	callers, operators, peers net.Listener
}

// Run serves until ctx is done and then stops gracefully.
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
	peers := d.guard(open.peers, peerLimits(d.settings))
	wg.Go(func() { d.report("peers", messenger.Serve(workCtx, peers, host, host.messengerOptions()...)) })
	callers, callerPort := d.startHTTPServer(open.callers, host.server.Callers(), &wg)
	operators, operatorPort := d.startHTTPServer(open.operators, host.server.Operators(), &wg)
	ports := []*acceptor.Acceptor{callerPort, operatorPort, peers}
	wg.Go(func() { acceptor.Run(workCtx, d.options.Clock, func() []*acceptor.Acceptor { return ports }) })

	<-ctx.Done()
	host.drain(context.WithoutCancel(ctx))
	d.shutdown(callers, operators)
	stop()
	wg.Wait()
	return host.close()
}

// Limits of every HTTP connection. writeTimeout is above the longest deadline
// that a caller may ask for.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 6 * time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// bodyTimeout is the time for a body without that for its bytes.
	bodyTimeout = 10 * time.Second
	// answerTimeout is the time in which a client takes each part of an answer.
	answerTimeout = 30 * time.Second
	// maxPeerMessage is above the largest message between hosts.
	maxPeerMessage = 4 << 20
	// peerBytesShare is the inverse share of the connection bytes for other
	// hosts, whose messages are copied as they grow.
	peerBytesShare = 2
)

// startHTTPServer serves the handler on a listener in a goroutine of wg.
func (d *Daemon) startHTTPServer(l net.Listener, handler http.Handler, wg *conc.WaitGroup) (*http.Server, *acceptor.Acceptor) {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         d.options.PublicTLS,
	}
	guarded := d.guard(l, publicLimits(d.settings))
	guarded.Configure(s)
	l = guarded
	if d.options.PublicTLS != nil {
		l = tls.NewListener(l, d.options.PublicTLS)
	}
	wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.report("listener", err)
		}
	})
	return s, guarded
}

// guard returns the listener with a budget for its connections. One connection
// above the limit is accepted and displaces another; further ones wait.
func (d *Daemon) guard(l net.Listener, limits budgeter.Limits) *acceptor.Acceptor {
	return acceptor.New(limiter.New(l, limits.Connections+1), budgeter.New(limits), d.options.Clock)
}

// shutdown closes the HTTP servers once they have answered all requests or the
// drain timeout has passed.
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

// openListeners opens all listeners of the host or none.
func (d *Daemon) openListeners(ctx context.Context) (listeners, error) {
	var open listeners
	var config net.ListenConfig
	for _, l := range []struct {
		address netip.AddrPort
		target  *net.Listener
	}{
		{d.settings.Listen.Callers, &open.callers},
		{d.settings.Listen.Operators, &open.operators},
		{d.settings.Listen.Peers, &open.peers},
	} {
		listener, err := config.Listen(ctx, "tcp", l.address.String())
		if err != nil {
			open.close()
			return open, eris.Wrapf(err, "listen on %s", l.address)
		}
		*l.target = listener
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

// report passes an error of a part to OnError, except a cancelled context.
func (d *Daemon) report(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) && d.options.OnError != nil {
		d.options.OnError(part, err)
	}
}
