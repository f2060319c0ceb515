package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/entry/server"
	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
	"primrosespar.example/primrosespar/internal/member/heartbeater"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/member/messenger"
	"primrosespar.example/primrosespar/internal/place/cleaner"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/planner"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/record/recorder"
	"primrosespar.example/primrosespar/internal/request/claimer"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
	"primrosespar.example/primrosespar/internal/request/forwarder"
	"primrosespar.example/primrosespar/internal/request/minter"
	"primrosespar.example/primrosespar/internal/request/retrier"
	"primrosespar.example/primrosespar/internal/request/router"
	"primrosespar.example/primrosespar/internal/service/batcher"
)

// host holds the components of a running entry host.
type host struct {
	daemon      *Daemon
	incarnation primrosespar.Incarnation
	addresses   Addresses

	follower        *follower.Follower
	amender         *amender.Amender
	dispatcher      *dispatcher.Dispatcher
	members         *members
	messenger       *messenger.Messenger
	heartbeater     *heartbeater.Heartbeater
	forwarder       *forwarder.Forwarder
	batcher         *batcher.Batcher
	claimer         *claimer.Claimer
	router          *router.Router
	recorder        *recorder.Recorder
	meteredRecorder *meteredRecorder
	leaser          *leaser.Leaser
	controller      *controller.Controller
	cleaner         *cleaner.Cleaner
	workerCache     *workerCache
	meter           *meter.Meter
	server          *server.Server
	mintKey         func(account primrosespar.Account) (string, error)
}

// Sizes of random values, in bytes.
const (
	incarnationBytes = 16
	mintSecretBytes  = 32
	attemptIDBytes   = 12
	requestIDBytes   = 8
)

// randomBytes returns n random bytes.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return b
}

func randomHex(n int) string { return hex.EncodeToString(randomBytes(n)) }

func newAttemptID() primrosespar.AttemptID {
	return primrosespar.AttemptID(randomHex(attemptIDBytes))
}

func newRequestID() primrosespar.RequestID {
	return primrosespar.RequestID("r-" + randomHex(requestIDBytes))
}

// newHost creates the components, each after those that it depends on.
func (d *Daemon) newHost(open listeners) *host {
	h := &host{
		daemon:      d,
		incarnation: primrosespar.Incarnation(randomHex(incarnationBytes)),
		addresses:   open.addresses(),
		meter:       meter.New(),
	}
	h.buildRecorder()
	h.buildMembers()
	h.buildRequests()
	h.buildPlace()
	h.buildServer()
	return h
}

func (h *host) buildRecorder() {
	s := h.daemon.settings
	h.recorder = recorder.New(append(recorderOptions(s, h.liveHostCount),
		recorder.WithObjects(h.daemon.platform.Objects),
		recorder.WithClock(h.daemon.options.Clock),
		recorder.WithHost(s.Place, s.Host, h.incarnation),
	)...)
	h.meteredRecorder = &meteredRecorder{next: h.recorder, meter: h.meter}
}

// liveHostCount returns the number of live hosts of the place.
func (h *host) liveHostCount() int { return len(h.dispatcher.View().Live) }

func (h *host) buildMembers() {
	d := h.daemon
	clock, s := d.options.Clock, d.settings
	memberClock := d.memberClock()
	h.follower = follower.New(append(followerOptions(s),
		follower.WithTable(d.platform.Table),
		follower.WithClock(memberClock),
		follower.WithJitter(mathrand.Float64),
		follower.WithLeader(func() bool { return h.dispatcher.View().Rank(s.Host) == 0 }),
	)...)
	h.dispatcher = dispatcher.New(
		dispatcher.WithHost(s.Host, s.Place, h.incarnation, h.addresses.Peers),
		dispatcher.WithClock(clock),
		dispatcher.WithMemberClock(memberClock),
		dispatcher.WithContracts(h.follower),
		dispatcher.WithRandom(mathrand.IntN),
		dispatcher.WithMinted(minter.IsMinted),
	)
	h.members = newMembers(h.dispatcher, h.follower)
	h.messenger = messenger.New(h.messengerOptions()...)
	h.heartbeater = heartbeater.New(h.members, h.messenger, heartbeater.WithClock(memberClock))
}

// memberClock returns the clock that the follower, the dispatcher and the
// heartbeater share, which exchange its readings.
func (d *Daemon) memberClock() primrosespar.Clock {
	if d.options.Stopwatch == nil {
		return d.options.Clock
	}
	return stopwatch.NewClock(d.options.Clock, d.options.Stopwatch)
}

func (h *host) messengerOptions() []messenger.Option {
	return append(messengerOptions(h.daemon.settings),
		messenger.WithClock(h.daemon.options.Clock),
		messenger.WithCurrentTLS(h.daemon.options.PeerTLS),
		messenger.WithOnPanic(h.daemon.report),
	)
}

func (h *host) buildRequests() {
	d := h.daemon
	clock, s := d.options.Clock, d.settings
	keyMinter := minter.New(append(minterOptions(s),
		minter.WithProcess(s.Place, s.Host, h.incarnation, randomBytes(mintSecretBytes)),
		minter.WithClock(clock),
	)...)
	h.batcher = batcher.New(d.platform.Table, batcher.WithClock(clock),
		batcher.WithWindow(claimWindow), batcher.WithRate(claimRate, claimBurst))
	h.claimer = claimer.New(
		claimer.WithStore(h.batcher, d.platform.Objects),
		claimer.WithClock(clock),
		claimer.WithAttempts(newAttemptID),
	)
	h.forwarder = forwarder.New(append(forwarderOptions(s), forwarder.WithClock(clock))...)
	h.router = router.New(append(routerOptions(s),
		router.WithHost(s.Place, s.Host),
		router.WithClock(clock),
		router.WithContracts(h.follower, h.dispatcher),
		router.WithRecorder(h.meteredRecorder),
		router.WithKeys(h.claimer, keyMinter),
		router.WithAttempts(h.forwarder, retrier.New(retrier.WithClock(clock), retrier.WithRandom(mathrand.Float64)), newAttemptID),
		router.WithPeers(h.messenger, h.members.peerAddress),
	)...)
	h.mintKey = keyMinter.Mint
}

// Up to claimRate transactions per second, a host sends each claim at once.
// Above that it batches claims, so that the hosts of all places together stay
// within the several hundred writes per second that the store accepts.
const (
	claimRate   = 10
	claimBurst  = 10
	claimWindow = 20 * time.Millisecond
)

// Limits of minted keys: how long a key may be used, and the bytes of answers
// that are kept for repeated calls.
const (
	mintedKeyLifetime = 10 * time.Minute
	mintedAnswerBytes = 16 << 20
)

func (h *host) buildPlace() {
	d := h.daemon
	clock, s := d.options.Clock, d.settings
	h.leaser = leaser.New(d.platform.Table, clock, leaser.Identity{
		Place: s.Place, Host: s.Host, Incarnation: h.incarnation, Address: h.addresses.Peers,
	}, leaserOptions(s)...)
	h.controller = controller.New(controller.Parts{
		Place: s.Place, Host: s.Host, Table: d.platform.Table, Workers: d.platform.Workers,
		Clock: clock, Lease: h.leaser, Contracts: h.follower, Recorder: h.meteredRecorder,
		Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(s.Place)) },
		OnError: func(err error) { d.report("runner", err) },
	}, controllerOptions(s)...)
	h.cleaner = cleaner.New(cleaner.Parts{
		Place: s.Place, Table: d.platform.Table, Clock: clock, Lease: h.leaser, Retention: h.retention,
	})
	h.workerCache = newWorkerCache(d.platform.Workers, clock, s.Places)
	h.amender = amender.New(
		amender.WithTable(d.platform.Table),
		amender.WithClock(clock),
		amender.WithJitter(mathrand.Float64),
		amender.WithPlaces(placesOf(s.Places)...),
		amender.WithWorkers(h.workerCache.list),
	)
}

func (h *host) buildServer() {
	d := h.daemon
	clock, s := d.options.Clock, d.settings
	h.server = server.New(server.Parts{
		Place: s.Place, Places: placesOf(s.Places), Host: s.Host, Clock: clock, Router: h.router, Contracts: h.follower,
		Authorizer: authorizer.New(tokensOf(s)...), Meter: h.meter,
		Jobs: submitter.New(d.platform.Table, h.follower, clock,
			append(submitterOptions(s), submitter.WithRandom(randomBytes), submitter.WithCheck(h.workerCache.checkShape), submitter.WithHosts(func() int { return len(h.dispatcher.View().Live) }))...),
		Mint: h.mintKey, NewID: newRequestID, Notify: h.notify,
		Amender: h.amender, Objects: d.platform.Objects, Recorder: h.meteredRecorder,
		AllWorkers: h.workerCache.list, Status: h.status, Flush: h.recorder.Flush,
	}, serverOptions(s)...)
}

// notify tells the holder of the place lease about a job. If the holder cannot
// be reached, its next scan of the inbox finds the job.
func (h *host) notify(place primrosespar.Place, id primrosespar.JobID) {
	if place != h.daemon.settings.Place {
		return
	}
	if _, held := h.leaser.Held(); held {
		h.controller.Notify(id)
		return
	}
	holder, known := h.leaser.Holder()
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.daemon.settings.Timeouts.PeerCall)
	defer cancel()
	h.daemon.report("notify", h.messenger.Notify(ctx, holder.Address, place, id))
}
