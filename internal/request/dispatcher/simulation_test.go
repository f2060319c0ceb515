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
	upstreamCount = 6
	slotCount     = 8
	listLag       = 5 * time.Second
)

// source gives one account that no limit of its own holds back.
type source struct{}

func (source) View() (primrosespar.ContractView, time.Duration) {
	return primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{{Contract: primrosespar.Contract{
		Account: "x", Weight: 1, Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}},
		Classes: []primrosespar.ClassTerms{{Class: "c", Kind: primrosespar.KindRequest, Idempotent: true, RatePerSecond: 1e6, Burst: 1e6, Concurrency: 10_000, Queue: 1000}},
	}}}}, 0
}

func (source) Current() bool { return true }

// member is one simulated host.
type member struct {
	name   primrosespar.Host
	d      *dispatcher.Dispatcher
	cancel context.CancelFunc
	paused bool
	dead   bool
	// shown is when the lagging list begins to name the host.
	shown time.Time
	last  primrosespar.Heartbeat
}

// place simulates hosts and upstreams; the switches turn one mechanism off.
type place struct {
	// alone cuts all heartbeats and the list of hosts; ghost keeps repeating
	// the last heartbeat of dead hosts; mute drops announcements of leaving.
	alone, ghost, mute bool
	// workers is the demand of each host at the start. A host with little
	// demand has idle slots that are lent only with the next heartbeat.
	workers []int
	// random draws the delays, losses and times of service.
	random *rand.Rand

	mu      sync.Mutex
	members []*member
	inUse   map[primrosespar.Upstream]map[*member]int
	starts  map[primrosespar.Upstream]int
	peak    int
	leaving primrosespar.Upstream
	wg      conc.WaitGroup
}

func newPlace() *place {
	return &place{random: rand.New(rand.NewPCG(1, 3)), workers: []int{70, 30, 30, 2}, inUse: map[primrosespar.Upstream]map[*member]int{}, starts: map[primrosespar.Upstream]int{}}
}

func (p *place) directory() primrosespar.Directory {
	var dir primrosespar.Directory
	for i := range upstreamCount {
		dir.Upstreams = append(dir.Upstreams, primrosespar.UpstreamEntry{Upstream: primrosespar.Upstream(fmt.Sprintf("u%d", i)), Place: "p", Slots: slotCount})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !p.alone && !time.Now().Before(m.shown) {
			dir.Hosts = append(dir.Hosts, primrosespar.HostEntry{Host: m.name, Place: "p"})
		}
	}
	return dir
}

// join starts a host with workers that always want a slot.
func (p *place) join(ctx context.Context, name primrosespar.Host, workers int, shown time.Time) {
	m := &member{name: name, shown: shown}
	m.d = dispatcher.New(dispatcher.WithHost(name, "p", primrosespar.Incarnation(name), primrosespar.HostEntry{}.Peer),
		dispatcher.WithClock(clockwork.NewRealClock()), dispatcher.WithContracts(source{}),
		dispatcher.WithRandom(rand.New(rand.NewPCG(1, uint64(workers))).IntN))
	p.mu.Lock()
	p.members = append(p.members, m)
	p.mu.Unlock()
	ctx, m.cancel = context.WithCancel(ctx)
	m.d.SetDirectory(p.directory())
	m.d.Tick()
	p.wg.Go(func() { p.beats(ctx, m) })
	for range workers {
		p.wg.Go(func() { p.work(ctx, m) })
	}
}

// beats exchanges heartbeats once a second.
func (p *place) beats(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		p.mu.Lock()
		paused, peers := m.paused, append([]*member(nil), p.members...)
		p.mu.Unlock()
		if !paused {
			m.d.SetDirectory(p.directory())
			m.d.Tick()
			for _, peer := range peers {
				p.wg.Go(func() { p.exchange(m, peer) })
			}
		}
		time.Sleep(time.Second)
	}
}

func (p *place) exchange(m, peer *member) {
	p.mu.Lock()
	silent, dead, stale := peer.paused || peer.dead, peer.dead, peer.last
	p.mu.Unlock()
	if peer == m || p.alone {
		return
	}
	if dead && p.ghost {
		m.d.HandleHeartbeatReply(stale, time.Time{})
	}
	if silent {
		return
	}
	sent := time.Now()
	there, back, lost := p.draw(), p.draw(), p.draw()
	beat := p.strip(m.d.Heartbeat(peer.name))
	time.Sleep(there)
	if lost < 10*time.Millisecond {
		return
	}
	answer, err := peer.d.HandleHeartbeat(context.Background(), beat)
	time.Sleep(back)
	if err == nil && lost >= 20*time.Millisecond {
		p.mu.Lock()
		peer.last = answer
		p.mu.Unlock()
		m.d.HandleHeartbeatReply(p.strip(answer), sent)
	}
}

func (p *place) strip(beat primrosespar.Heartbeat) primrosespar.Heartbeat {
	if p.mute {
		beat.Leaving = nil
	}
	return beat
}

// draw returns 1 to 100 ms.
func (p *place) draw() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(1+p.random.IntN(100)) * time.Millisecond
}

// work holds one slot after another for 1 to 100 ms each.
func (p *place) work(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		grant, err := m.d.Acquire(ctx, primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		u := grant.Target().Upstream
		p.use(u, m, 1)
		service := p.draw()
		time.Sleep(service)
		for p.isPaused(m) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		p.use(u, m, -1)
		grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: service, Leaving: u == p.leaver() && m.name == "h0"})
	}
}

func (p *place) isPaused(m *member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.paused
}

func (p *place) leaver() primrosespar.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// use counts slots; those of a dead host are free.
func (p *place) use(u primrosespar.Upstream, m *member, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[u] == nil {
		p.inUse[u] = map[*member]int{}
	}
	p.inUse[u][m] += by
	if by > 0 {
		p.starts[u]++
	}
	total := 0
	for member, used := range p.inUse[u] {
		if !member.dead {
			total += used
		}
	}
	p.peak = max(p.peak, total)
}

// set changes the state under the lock.
func (p *place) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// nextPeak returns the most slots used at one upstream in the next 10 s.
func (p *place) nextPeak() int {
	p.set(func() { p.peak = 0 })
	time.Sleep(10 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// startsOver returns the attempts started at the upstream within the time.
func (p *place) startsOver(u primrosespar.Upstream, d time.Duration) int {
	p.set(func() { p.starts[u] = 0 })
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[u]
}

// lowest returns the least of the peaks of all upstreams within the time.
func (p *place) lowest(d time.Duration) int {
	best := map[primrosespar.Upstream]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
		p.set(func() {
			for u, hosts := range p.inUse {
				total := 0
				for m, used := range hosts {
					if !m.dead {
						total += used
					}
				}
				best[u] = max(best[u], total)
			}
		})
	}
	least := slotCount
	for _, used := range best {
		least = min(least, used)
	}
	return least
}

// simulate runs the script in a bubble with a virtual clock.
func simulate(t *testing.T, p *place, script func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer p.wg.Wait()
		defer cancel()
		for i, workers := range p.workers {
			p.join(ctx, primrosespar.Host(fmt.Sprintf("h%d", i)), workers, time.Now())
		}
		time.Sleep(10 * time.Second)
		script(ctx)
	})
}

// TestSlotsStayWithinUpstreams guards against hosts that together use more
// slots than an upstream has, after a join, a death and a pause.
func TestSlotsStayWithinUpstreams(t *testing.T) {
	for _, alone := range []bool{false, true} {
		p := newPlace()
		p.alone = alone
		simulate(t, p, func(ctx context.Context) {
			peaks := []int{p.nextPeak()}
			p.join(ctx, "h4", 30, time.Now().Add(listLag))
			time.Sleep(6 * time.Second)
			peaks = append(peaks, p.nextPeak())
			p.set(func() { p.members[1].dead = true })
			p.members[1].cancel()
			time.Sleep(6 * time.Second)
			peaks = append(peaks, p.nextPeak())
			p.set(func() { p.members[2].paused = true })
			time.Sleep(10 * time.Second)
			p.set(func() { p.members[2].paused = false })
			time.Sleep(6 * time.Second)
			peaks = append(peaks, p.nextPeak())
			t.Logf("alone %t: peaks %v", alone, peaks)
			for _, peak := range peaks {
				require.Equal(t, alone, peak > slotCount, "peaks %v", peaks)
			}
		})
	}
}

// TestSlotsOfDeadHostReturn guards against slots that stay unused for more
// than 6 s after their host died.
func TestSlotsOfDeadHostReturn(t *testing.T) {
	for _, ghost := range []bool{false, true} {
		p := newPlace()
		p.ghost, p.workers = ghost, []int{70, 30, 30, 30}
		simulate(t, p, func(context.Context) {
			before := p.lowest(time.Second)
			p.set(func() { p.members[1].dead = true })
			p.members[1].cancel()
			time.Sleep(6 * time.Second)
			after := p.lowest(500 * time.Millisecond)
			t.Logf("ghost %t: least peak of an upstream %d before, %d after", ghost, before, after)
			require.Equal(t, ghost, after < slotCount)
		})
	}
}

// TestLeavingReachesAllHosts guards against new work for a leaving upstream
// at a host that did not see the announcement itself.
func TestLeavingReachesAllHosts(t *testing.T) {
	for _, mute := range []bool{false, true} {
		p := newPlace()
		p.mute = mute
		simulate(t, p, func(context.Context) {
			p.set(func() { p.leaving = "u0" })
			time.Sleep(2*time.Second + 60*time.Millisecond)
			starts := p.startsOver("u0", 20*time.Second)
			t.Logf("mute %t: %d starts", mute, starts)
			require.Equal(t, mute, starts > 0)
		})
	}
}
