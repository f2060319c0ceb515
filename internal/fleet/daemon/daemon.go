// Package daemon assembles the fleet scheduler of one host: the election, the
// term as holder of the fleet lease, the catalog and the job service for
// callers.
//
// # Usage
//
//	d, err := daemon.New(settings, backend, daemon.WithClock(clock),
//		daemon.WithLog(onDecision, onChange, onError))
//	go d.Run(ctx)
//	handler := ... d.JobService() ...
//	d.Drain(ctx)
//
// All hosts run the same program. The one that holds the lease schedules; the
// others forward calls to it.
package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/accountant"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/fleet/elector"
	"primrosespar.example/primrosespar/internal/fleet/follower"
	"primrosespar.example/primrosespar/internal/fleet/messenger"
	"primrosespar.example/primrosespar/internal/fleet/registrar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
	"primrosespar.example/primrosespar/internal/fleet/submitter"
	"primrosespar.example/primrosespar/internal/fleet/supervisor"
)

// Timeouts and margins of the daemon.
const (
	// maxContactAge is how long ago the store or the holder may last have
	// answered for the host to be ready.
	maxContactAge = 3 * time.Second
	// endTermTimeout bounds the orderly end of a term before its lease is
	// released.
	endTermTimeout = 1500 * time.Millisecond
	// releaseTimeout bounds the write that releases the lease.
	releaseTimeout = time.Second
	// takeOverTimeout bounds the request to a successor to take over, which it
	// answers at once.
	takeOverTimeout = 500 * time.Millisecond
	// maxHandoverAttempts bounds the successors that are asked to take over.
	maxHandoverAttempts = 3
	// offerThreshold is for how long the commits of the holder may fail before
	// it asks a successor to take over. Callers wait meanwhile; with a store
	// that refuses them the committer has made three attempts by then.
	offerThreshold = 250 * time.Millisecond
	// offerCheckInterval is the time between two checks for that, and
	// offerInterval the time between two requests.
	offerCheckInterval = 100 * time.Millisecond
	offerInterval      = 500 * time.Millisecond
)

// Settings configure the daemon of one host.
type Settings struct {
	Host primrosespar.Host
	// PeerAddress is the address at which other hosts reach this one.
	PeerAddress netip.AddrPort
	// Weight ranks the host as a successor.
	Weight float64
	// MaxFirstPolls bounds the idle workers that a new holder polls at once; 0 is
	// the default.
	MaxFirstPolls int
	// JobMemory limits the memory of all live jobs; 0 is the default.
	JobMemory int64
	// Lease is how long a worker keeps its runs without a renewal.
	Lease time.Duration
	// LongestLease is the longest lease that a worker accepts.
	LongestLease time.Duration
	// TurnInterval is the time between maintenance orders of two holders for
	// one machine.
	TurnInterval time.Duration
	// GangTimeout is how long a member of a gang waits for the others; 0 is the
	// default.
	GangTimeout time.Duration
	// CatalogApplyTimeout is the time within which a change of the catalog has
	// to take effect; 0 is the default.
	CatalogApplyTimeout time.Duration
	// EvacuationBound is how long after an operator's request that a place is
	// emptied a start may still reach its workers; 0 means that there are no such
	// requests.
	EvacuationBound time.Duration
	// AssessWorkers makes the scheduler prefer workers that lately finished what
	// they got.
	AssessWorkers bool
	// Places are the places of the installation, for the operators' requests that
	// one is emptied. If there are none, all names are accepted.
	Places []primrosespar.Place
	// MaxCatalogAge is the maximum age of the catalog for serving callers; 0 is
	// no limit.
	MaxCatalogAge time.Duration
}

// Backend is the set of the platform's services.
type Backend struct {
	Table  primrosespar.Table
	Source primrosespar.Source
	Fleet  primrosespar.Fleet
	// Maintenance is nil if the platform has no machine maintenance.
	Maintenance primrosespar.MaintenanceService
	// Evacuations is read where the settings have an EvacuationBound.
	Evacuations primrosespar.EvacuationSource
}

// Options configure a Daemon.
type Options struct {
	Clock primrosespar.Clock
	// Stopwatch measures the age of permissions.
	Stopwatch primrosespar.Stopwatch
	// OnDecision receives the decisions of the scheduler, OnChange each change
	// of the holder or catalog that the host knows, and OnError errors that do
	// not stop the daemon.
	OnDecision func(scheduler.Event)
	OnChange   func(what, detail string)
	OnError    func(part string, err error)
	// OnTerm is called when a term of this host begins and ends.
	OnTerm func(leading bool)
	// PeerListener wraps the listener for other hosts.
	PeerListener func(net.Listener) net.Listener
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithStopwatch sets the stopwatch that measures the age of permissions. Without
// one, the time for which the machine was suspended does not count.
func WithStopwatch(s primrosespar.Stopwatch) Option { return func(o *Options) { o.Stopwatch = s } }

// WithLog sets the functions that receive decisions, changes and errors.
func WithLog(onDecision func(scheduler.Event), onChange func(what, detail string), onError func(part string, err error)) Option {
	return func(o *Options) { o.OnDecision, o.OnChange, o.OnError = onDecision, onChange, onError }
}

// WithOnTerm sets the function that is called when a term of this host begins
// and ends.
func WithOnTerm(onTerm func(leading bool)) Option { return func(o *Options) { o.OnTerm = onTerm } }

// WithPeerListener sets the function that wraps the listener for other hosts.
func WithPeerListener(wrap func(net.Listener) net.Listener) Option {
	return func(o *Options) { o.PeerListener = wrap }
}

// Daemon is the fleet scheduler of one host. It is safe for concurrent use.
type Daemon struct {
	settings  Settings
	backend   Backend
	opts      Options
	messenger *messenger.Messenger
	// supervisor keeps a panic in one part from ending the process.
	supervisor *supervisor.Supervisor
	committer  *committer.Committer
	// accountant adds up the lost work of all terms of this host.
	accountant *accountant.Accountant
	elector    *elector.Elector
	follower   *follower.Follower
	submitter  *submitter.Submitter
	registrar  *registrar.Registrar
	term       atomic.Pointer[controller.Controller]
	draining   atomic.Bool

	mu sync.Mutex
	// lastContact is when the store or the holder last answered,
	// lastStoreAnswer when the store did.
	lastContact     time.Time
	lastStoreAnswer time.Time
}

// New returns a Daemon that has not started.
func New(settings Settings, backend Backend, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: settings, backend: backend, messenger: messenger.New(), accountant: accountant.New(), opts: Options{
		OnDecision: func(scheduler.Event) {},
		OnChange:   func(string, string) {},
		OnError:    func(string, error) {},
		OnTerm:     func(bool) {},
	}}
	for _, opt := range opts {
		opt(&d.opts)
	}
	d.supervisor = supervisor.New(d.opts.Clock, d.opts.OnError)
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	if backend.Evacuations != nil {
		d.registrar, err = registrar.New(backend.Table, backend.Evacuations, func() time.Time { return d.wallClock(d.opts.Clock.Now()) },
			registrar.WithPlaces(settings.Places))
		if err != nil {
			return nil, err
		}
	}
	d.committer = committer.New(backend.Table, d.opts.Clock, committer.Identity{
		Host: settings.Host, Incarnation: incarnation, Address: settings.PeerAddress,
	}, committer.WithStopwatch(d.opts.Stopwatch))
	d.elector = elector.New(elector.Parts{
		Committer: d.committer, Peers: d.messenger, Clock: d.opts.Clock,
		OwnHeartbeat: d.ownHeartbeat, Lead: d.runTerm, OnHeartbeatReply: d.handleHeartbeatReply, OnChange: d.logHolderChange, OnError: d.opts.OnError,
	})
	d.follower = follower.New(backend.Source, d.opts.Clock,
		follower.WithApplyTimeout(settings.CatalogApplyTimeout), follower.WithMaxAge(settings.MaxCatalogAge),
		follower.WithLeader(d.elector.Leading),
		follower.WithOnRead(d.recordStoreAnswer),
		follower.WithOnChange(d.logCatalogChange),
		follower.WithOnError(func(err error) { d.opts.OnError("catalog", err) }))
	d.submitter, err = submitter.New(submitter.Parts{
		Table: backend.Table, Peers: d.messenger, Clock: d.opts.Clock,
		Term: d.currentTerm, Holder: d.elector.Holder, Search: d.elector.Search, StoreSlow: d.elector.StoreSlow, Waiting: d.elector.Waiting, Catalog: d.follower.Usable,
		JobMemory: settings.JobMemory,
	})
	return d, err
}

// newIncarnation returns 128 random bits in hexadecimal.
func newIncarnation() (primrosespar.Incarnation, error) {
	var bits [16]byte
	if _, err := rand.Read(bits[:]); err != nil {
		return "", eris.Wrap(err, "generate incarnation")
	}
	return primrosespar.Incarnation(hex.EncodeToString(bits[:])), nil
}

// JobService returns the job service for callers.
func (d *Daemon) JobService() primrosespar.JobService { return d.submitter }

// Interruption returns for how long this host has had no service for changes of
// jobs, 0 if it has, and how many calls it holds.
func (d *Daemon) Interruption() (age time.Duration, held int) { return d.submitter.Interruption() }

// Run serves the other hosts and takes part in the election until the context
// ends.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", d.settings.PeerAddress.String())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if d.opts.PeerListener != nil {
		listener = d.opts.PeerListener(listener)
	}
	var tasks conc.WaitGroup
	defer func() { _ = d.messenger.Close() }()
	defer tasks.Wait()
	tasks.Go(func() {
		if err := messenger.Serve(ctx, listener, d, d.opts.OnError); err != nil && ctx.Err() == nil {
			d.opts.OnError("peers", err)
		}
	})
	tasks.Go(func() {
		_ = d.supervisor.Keep(ctx, "catalog", func() error {
			d.follower.Run(ctx)
			return nil
		})
	})
	return d.supervisor.Keep(ctx, "election", func() error { return d.elector.Run(ctx) })
}

// Ready reports whether the host can serve callers: it is not draining, its
// catalog is recent enough, and the store or the holder has answered lately.
func (d *Daemon) Ready() bool {
	if d.draining.Load() || d.follower.Usable() == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opts.Clock.Since(d.lastContact) < maxContactAge
}

// Draining reports whether Drain was called.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Drain makes the host unready and keeps it from leading again. If the host
// leads, Drain ends its term and asks the first successor, if any, to take
// over.
func (d *Daemon) Drain(ctx context.Context) {
	d.draining.Store(true)
	token := d.committer.Token()
	successors := d.elector.Resign()
	if len(successors) == 0 {
		return
	}
	deadline := d.opts.Clock.After(endTermTimeout + releaseTimeout)
	for d.elector.Leading() {
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-d.opts.Clock.After(10 * time.Millisecond):
		}
	}
	for _, successor := range successors[:min(len(successors), maxHandoverAttempts)] {
		if d.askToTakeOver(ctx, successor, token) {
			return
		}
	}
}

// askToTakeOver asks a host to replace this one as holder and reports whether it
// has agreed.
func (d *Daemon) askToTakeOver(ctx context.Context, successor netip.AddrPort, token primrosespar.Token) bool {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	err := d.messenger.TakeOver(ctx, successor, token)
	if err != nil {
		d.opts.OnError("handover", err)
	}
	return err == nil
}

// offerLease asks the successors in turn to take over while the commits of this
// host fail, until the term ends. A successor that the store does not answer
// either does not take over.
func (d *Daemon) offerLease(ctx context.Context, ended <-chan struct{}) {
	for next := 0; ; {
		wait := offerCheckInterval
		successors := d.elector.Hosts()
		if d.committer.FailingTime() >= offerThreshold && len(successors) > 0 {
			successor := successors[next%min(len(successors), maxHandoverAttempts)]
			d.opts.OnChange("holder", fmt.Sprintf("the commits of this host fail; asking %s to take over", successor))
			d.askToTakeOver(ctx, successor, d.committer.Token())
			next++
			wait = offerInterval
		}
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-d.opts.Clock.After(wait):
		}
	}
}

// ownHeartbeat returns the heartbeat of this host.
func (d *Daemon) ownHeartbeat() primrosespar.FleetHeartbeat {
	return primrosespar.FleetHeartbeat{
		Host: d.settings.Host, Address: d.settings.PeerAddress, Weight: d.settings.Weight,
		WallClock: d.opts.Clock.Now().Round(0), Leaving: d.draining.Load(),
	}
}

// currentTerm returns the term of this host, or a nil interface if it has none.
func (d *Daemon) currentTerm() submitter.Term {
	if term := d.term.Load(); term != nil {
		return term
	}
	return nil
}

// runTerm runs one term. The earlier holder had sent its last confirmed commit
// by earlierCommitAt. When ctx ends, the term has endTermTimeout to finish,
// and the lease is released if it does.
func (d *Daemon) runTerm(ctx context.Context, earlierCommitAt time.Time) error {
	term, err := controller.New(controller.Parts{
		Table: d.backend.Table, Fleet: d.backend.Fleet, Source: d.backend.Source, Clock: d.opts.Clock, Stopwatch: d.opts.Stopwatch,
		Maintenance: d.backend.Maintenance, Evacuations: d.evacuationSource(), Host: d.settings.Host, Peers: d.messenger, Hosts: d.elector.Hosts, Committer: d.committer, Catalog: d.follower.Catalog, WallClock: d.wallClock,
		OnDecision: d.opts.OnDecision, OnStoreAnswer: d.recordStoreAnswer, OnError: d.opts.OnError,
	}, controller.WithJobMemory(d.settings.JobMemory), controller.WithAccountant(d.accountant), controller.WithMaxFirstPolls(cmp.Or(d.settings.MaxFirstPolls, controller.DefaultMaxFirstPolls)),
		controller.WithLease(d.settings.Lease), controller.WithGangTimeout(d.settings.GangTimeout),
		controller.WithEarlierCommitAt(earlierCommitAt), controller.WithLongestLease(d.settings.LongestLease), controller.WithTurnInterval(d.settings.TurnInterval),
		controller.WithEvacuationBound(d.settings.EvacuationBound), controller.WithAssessment(d.settings.AssessWorkers))
	if err != nil {
		return err
	}
	d.recordStoreAnswer()
	d.opts.OnTerm(true)
	defer d.opts.OnTerm(false)
	d.term.Store(term)
	defer d.term.Store(nil)
	termCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan struct{})
	var watchers conc.WaitGroup
	defer watchers.Wait()
	defer close(ended)
	offerCtx, stopOffer := context.WithCancel(ctx)
	defer stopOffer()
	watchers.Go(func() { d.offerLease(offerCtx, ended) })
	watchers.Go(func() {
		select {
		case <-ended:
			return
		case <-ctx.Done():
		}
		term.EndTerm()
		select {
		case <-ended:
		case <-d.opts.Clock.After(endTermTimeout):
			cancel()
		}
	})
	if err := d.supervisor.Try("term", func() error { return term.Run(termCtx) }); err != nil {
		return err
	}
	releaseCtx, cancelRelease := context.WithTimeout(termCtx, releaseTimeout)
	defer cancelRelease()
	if err := d.committer.Release(releaseCtx); err != nil {
		return err
	}
	return primrosespar.Fail(primrosespar.CodeDraining, "the fleet lease was released")
}

// wallClock converts a reading of the clock to wall-clock time. It corrects it
// by the median offset of the hosts, because the wall clock of a single host
// may jump.
func (d *Daemon) wallClock(now time.Time) time.Time {
	offsets := append(d.elector.ClockOffsets(func(at time.Time) time.Time { return at.Round(0) }), 0)
	slices.Sort(offsets)
	return now.Round(0).Add(offsets[len(offsets)/2])
}

// recordStoreAnswer records that the store has answered.
func (d *Daemon) recordStoreAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastStoreAnswer = d.opts.Clock.Now()
	d.lastContact = d.lastStoreAnswer
}

// storeAge returns the time since the store last answered this host.
func (d *Daemon) storeAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opts.Clock.Since(d.lastStoreAnswer)
}

// handleHeartbeatReply records contact with the holder and what its reply says
// about the catalog.
func (d *Daemon) handleHeartbeatReply(reply primrosespar.FleetHeartbeatReply, requestedAt time.Time) {
	d.mu.Lock()
	d.lastContact = d.opts.Clock.Now()
	d.mu.Unlock()
	d.follower.Confirm(primrosespar.CatalogConfirmation{
		Holder: reply.Token, Version: reply.CatalogVersion, Read: reply.CatalogRead, Reads: reply.CatalogReads,
	}, requestedAt)
}
