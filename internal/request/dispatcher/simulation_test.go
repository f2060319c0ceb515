package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
)

const (
	upstreamCount    = 6
	slotsPerUpstream = 8
	// listLag is the delay until the platform's directory lists a new host.
	listLag = 5 * time.Second
)

// contractSource has one account whose limits no test reaches.
type contractSource struct{}

func (contractSource) View() (primrosespar.ContractView, time.Duration) {
	return primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{{Contract: primrosespar.Contract{
		Account: "x", Weight: 1, Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}},
		Classes: []primrosespar.ClassTerms{{Class: "c", Kind: primrosespar.KindRequest, Idempotent: true, RatePerSecond: 1e6, Burst: 1e6, Concurrency: 10_000, Queue: 1000}},
	}}}}, 0
}

func (contractSource) Current() bool { return true }

// simulatedHost is one host of a simulation.
type simulatedHost struct {
	name       primrosespar.Host
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	paused     bool
	dead       bool
	// listedFrom is the time from which the platform's directory lists the
	// host.
	listedFrom time.Time
	lastReply  primrosespar.Heartbeat
}

// simulation runs the hosts and upstreams of one place. Each of the flags
// switches off a mechanism, to show that the tests detect its absence.
type simulation struct {
	// isolated suppresses heartbeats and the list of hosts; repeatHeartbeats
	// delivers the last reply of a dead host again and again; dropLeaving
	// removes announcements of leaving from heartbeats.
	isolated, repeatHeartbeats, dropLeaving bool
	// lossless delivers all heartbeats but those of muted to unheardBy.
	lossless         bool
	muted, unheardBy primrosespar.Host
	// callerCounts is the number of concurrent callers of each initial host. A
	// host with few callers has idle slots, which it lends only with its next
	// heartbeat.
	callerCounts []int
	// random determines delays, losses and service times.
	random *rand.Rand

	mu          sync.Mutex
	hosts       []*simulatedHost
	inUse       map[primrosespar.Upstream]map[*simulatedHost]int
	startCounts map[primrosespar.Upstream]int
	peak        int
	leaving     primrosespar.Upstream
	wg          conc.WaitGroup
}

func newSimulation() *simulation {
	return &simulation{random: rand.New(rand.NewPCG(1, 3)), callerCounts: []int{70, 30, 30, 2}, inUse: map[primrosespar.Upstream]map[*simulatedHost]int{}, startCounts: map[primrosespar.Upstream]int{}}
}

func (s *simulation) directory() primrosespar.Directory {
	var dir primrosespar.Directory
	for i := range upstreamCount {
		dir.Upstreams = append(dir.Upstreams, primrosespar.UpstreamEntry{Upstream: primrosespar.Upstream(fmt.Sprintf("u%d", i)), Place: "p", Slots: slotsPerUpstream})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if !s.isolated && !time.Now().Before(h.listedFrom) {
			dir.Hosts = append(dir.Hosts, primrosespar.HostEntry{Host: h.name, Place: "p"})
		}
	}
	return dir
}

// join starts a host with callers that each hold a slot or wait for one.
func (s *simulation) join(ctx context.Context, name primrosespar.Host, callers int, listedFrom time.Time) {
	h := &simulatedHost{name: name, listedFrom: listedFrom}
	h.dispatcher = dispatcher.New(dispatcher.WithHost(name, "p", primrosespar.Incarnation(name), primrosespar.HostEntry{}.Peer),
		dispatcher.WithClock(clockwork.NewRealClock()), dispatcher.WithContracts(contractSource{}),
		dispatcher.WithRandom(rand.New(rand.NewPCG(1, uint64(callers))).IntN))
	s.mu.Lock()
	s.hosts = append(s.hosts, h)
	s.mu.Unlock()
	ctx, h.cancel = context.WithCancel(ctx)
	h.dispatcher.SetDirectory(s.directory())
	h.dispatcher.Tick()
	s.wg.Go(func() { s.sendHeartbeats(ctx, h) })
	for range callers {
		s.wg.Go(func() { s.acquireRepeatedly(ctx, h) })
	}
}

// sendHeartbeats exchanges heartbeats with all hosts once per second.
func (s *simulation) sendHeartbeats(ctx context.Context, h *simulatedHost) {
	for ctx.Err() == nil {
		s.mu.Lock()
		paused, peers := h.paused, append([]*simulatedHost(nil), s.hosts...)
		s.mu.Unlock()
		if !paused {
			h.dispatcher.SetDirectory(s.directory())
			h.dispatcher.Tick()
			for _, peer := range peers {
				s.wg.Go(func() { s.exchangeHeartbeats(h, peer) })
			}
		}
		time.Sleep(time.Second)
	}
}

func (s *simulation) exchangeHeartbeats(h, peer *simulatedHost) {
	s.mu.Lock()
	silent, dead, lastReply := peer.paused || peer.dead, peer.dead, peer.lastReply
	s.mu.Unlock()
	if peer == h || s.isolated {
		return
	}
	if dead && s.repeatHeartbeats {
		h.dispatcher.HandleHeartbeatReply(lastReply, time.Time{})
	}
	if silent {
		return
	}
	sentAt := time.Now()
	requestDelay, replyDelay, loss := s.randomDelay(), s.randomDelay(), s.randomDelay()
	heartbeat := s.filterHeartbeat(h.dispatcher.Heartbeat(peer.name))
	time.Sleep(requestDelay)
	if s.loses(h, peer, loss < 10*time.Millisecond) {
		return
	}
	reply, err := peer.dispatcher.HandleHeartbeat(context.Background(), heartbeat)
	time.Sleep(replyDelay)
	if err == nil && !s.loses(peer, h, loss < 20*time.Millisecond) {
		s.mu.Lock()
		peer.lastReply = reply
		s.mu.Unlock()
		h.dispatcher.HandleHeartbeatReply(s.filterHeartbeat(reply), sentAt)
	}
}

// loses reports whether a message is lost; drawn is set for those that are where
// messages are lost at random.
func (s *simulation) loses(from, to *simulatedHost, drawn bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drawn && !s.lossless || s.muted == from.name && s.unheardBy == to.name
}

func (s *simulation) filterHeartbeat(heartbeat primrosespar.Heartbeat) primrosespar.Heartbeat {
	if s.dropLeaving {
		heartbeat.Leaving = nil
	}
	return heartbeat
}

// randomDelay returns a random duration from 1 to 100 ms.
func (s *simulation) randomDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(1+s.random.IntN(100)) * time.Millisecond
}

// acquireRepeatedly acquires one slot after another and holds each for 1 to 100
// ms, or longer while the host is paused.
func (s *simulation) acquireRepeatedly(ctx context.Context, h *simulatedHost) {
	for ctx.Err() == nil {
		grant, err := h.dispatcher.Acquire(ctx, primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		u := grant.Target().Upstream
		s.addUsed(u, h, 1)
		serviceTime := s.randomDelay()
		time.Sleep(serviceTime)
		for s.isPaused(h) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		s.addUsed(u, h, -1)
		grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: serviceTime, Leaving: u == s.leavingUpstream() && h.name == "h0"})
	}
}

func (s *simulation) isPaused(h *simulatedHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.paused
}

func (s *simulation) leavingUpstream() primrosespar.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// addUsed changes the number of slots that the host uses at the upstream. Slots
// of a dead host count as free.
func (s *simulation) addUsed(u primrosespar.Upstream, h *simulatedHost, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[u] == nil {
		s.inUse[u] = map[*simulatedHost]int{}
	}
	s.inUse[u][h] += by
	if by > 0 {
		s.startCounts[u]++
	}
	total := 0
	for host, used := range s.inUse[u] {
		if !host.dead {
			total += used
		}
	}
	s.peak = max(s.peak, total)
}

// withLock calls the function while holding the lock.
func (s *simulation) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// nextPeak returns the maximum number of slots used at any one upstream during
// the next 10 s.
func (s *simulation) nextPeak() int {
	s.withLock(func() { s.peak = 0 })
	time.Sleep(10 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// startsWithin returns the number of attempts started at the upstream during d.
func (s *simulation) startsWithin(u primrosespar.Upstream, d time.Duration) int {
	s.withLock(func() { s.startCounts[u] = 0 })
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startCounts[u]
}

// lowestPeak returns the lowest of the peaks of slots used at each upstream
// during d.
func (s *simulation) lowestPeak(d time.Duration) int {
	peaks := map[primrosespar.Upstream]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
		s.withLock(func() {
			for u, hosts := range s.inUse {
				total := 0
				for h, used := range hosts {
					if !h.dead {
						total += used
					}
				}
				peaks[u] = max(peaks[u], total)
			}
		})
	}
	lowest := slotsPerUpstream
	for _, used := range peaks {
		lowest = min(lowest, used)
	}
	return lowest
}

// runSimulation starts the hosts and runs the script in a synctest bubble,
// which has a virtual clock.
func runSimulation(t *testing.T, s *simulation, script func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer s.wg.Wait()
		defer cancel()
		for i, callers := range s.callerCounts {
			s.join(ctx, primrosespar.Host(fmt.Sprintf("h%d", i)), callers, time.Now())
		}
		time.Sleep(10 * time.Second)
		script(ctx)
	})
}

// TestSlotsStayWithinUpstreams guards against hosts that together use more
// slots than an upstream has, in normal operation and after a host joins,
// crashes or pauses.
func TestSlotsStayWithinUpstreams(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		s := newSimulation()
		s.isolated = isolated
		runSimulation(t, s, func(ctx context.Context) {
			peaks := []int{s.nextPeak()}
			s.join(ctx, "h4", 30, time.Now().Add(listLag))
			time.Sleep(6 * time.Second)
			peaks = append(peaks, s.nextPeak())
			s.withLock(func() { s.hosts[1].dead = true })
			s.hosts[1].cancel()
			time.Sleep(6 * time.Second)
			peaks = append(peaks, s.nextPeak())
			s.withLock(func() { s.hosts[2].paused = true })
			time.Sleep(10 * time.Second)
			s.withLock(func() { s.hosts[2].paused = false })
			time.Sleep(6 * time.Second)
			peaks = append(peaks, s.nextPeak())
			t.Logf("isolated %t: peaks %v", isolated, peaks)
			for _, peak := range peaks {
				require.Equal(t, isolated, peak > slotsPerUpstream, "peaks %v", peaks)
			}
		})
	}
}

// TestHostThatIsNotHeardUsesNoTakenSlots guards against hosts that together use
// more slots than an upstream has while one of them does not hear another, takes
// it for dead and takes over its slots.
func TestHostThatIsNotHeardUsesNoTakenSlots(t *testing.T) {
	for _, unheardBy := range []primrosespar.Host{"h1", "h2", "h3"} {
		s := newSimulation()
		s.lossless, s.callerCounts = true, []int{30, 30, 30, 30}
		runSimulation(t, s, func(context.Context) {
			for range 3 {
				s.withLock(func() { s.muted, s.unheardBy = "h0", unheardBy })
				require.LessOrEqual(t, s.nextPeak(), slotsPerUpstream)
				s.withLock(func() { s.muted = "" })
				require.LessOrEqual(t, s.nextPeak(), slotsPerUpstream)
			}
			require.Equal(t, slotsPerUpstream, s.lowestPeak(time.Second), "all slots are in use again")
		})
	}
}

// TestSlotsOfDeadHostAreReused guards against slots that stay unused for more
// than 6 s after their host crashed.
func TestSlotsOfDeadHostAreReused(t *testing.T) {
	for _, repeatHeartbeats := range []bool{false, true} {
		s := newSimulation()
		s.repeatHeartbeats, s.callerCounts = repeatHeartbeats, []int{70, 30, 30, 30}
		runSimulation(t, s, func(context.Context) {
			before := s.lowestPeak(time.Second)
			s.withLock(func() { s.hosts[1].dead = true })
			s.hosts[1].cancel()
			time.Sleep(6 * time.Second)
			after := s.lowestPeak(500 * time.Millisecond)
			t.Logf("repeated heartbeats %t: lowest peak of an upstream %d before, %d after", repeatHeartbeats, before, after)
			require.Equal(t, repeatHeartbeats, after < slotsPerUpstream)
		})
	}
}

// TestLeavingReachesAllHosts guards against new work for a leaving upstream
// from hosts that did not receive its announcement themselves.
func TestLeavingReachesAllHosts(t *testing.T) {
	for _, dropLeaving := range []bool{false, true} {
		s := newSimulation()
		s.dropLeaving = dropLeaving
		runSimulation(t, s, func(context.Context) {
			s.withLock(func() { s.leaving = "u0" })
			time.Sleep(2*time.Second + 60*time.Millisecond)
			starts := s.startsWithin("u0", 20*time.Second)
			t.Logf("announcements dropped %t: %d starts", dropLeaving, starts)
			require.Equal(t, dropLeaving, starts > 0)
		})
	}
}
