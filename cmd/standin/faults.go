package main

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// window is the time of one fault. Place and Host are empty if it concerns all.
type window struct {
	Fault string             `json:"fault"`
	Place primrosespar.Place `json:"place,omitempty"`
	Host  string             `json:"host,omitempty"`
	// Process is the process that the fault hit, if it hit one.
	Process int       `json:"process,omitempty"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

// schedule causes the faults of a trial.
type schedule struct {
	deployment *deployment
	random     *rand.Rand

	mu      sync.Mutex
	store   keeper.Faults
	next    map[primrosespar.Place]int
	busy    map[primrosespar.Place]bool
	windows []window
	left    map[netip.AddrPort]time.Time
	errs    []error
}

// Times of the faults: longer than the detection of a dead host (3 s) and, in
// part, than the lease time of a place (6 s).
const (
	shortestFault = 1500 * time.Millisecond
	longestFault  = 8 * time.Second
	faultPause    = 500 * time.Millisecond
	// warmUp lets keys run that are called again during the first fault.
	warmUp = 2 * time.Second
	// shortestOutage lets calls happen after every host has noticed it.
	shortestOutage = 2 * restrictedAfter
	// listLag is the age of the host list, as in the demonstration.
	listLag = time.Second
	// probePeriod is how soon the balancer notices that a host is not ready;
	// it is below the grace of a planned stop.
	probePeriod = time.Second
)

func newSchedule(d *deployment, seed uint64, hosts int) *schedule {
	s := &schedule{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), store: keeper.Faults{ListLag: listLag},
		left: map[netip.AddrPort]time.Time{}, next: map[primrosespar.Place]int{}, busy: map[primrosespar.Place]bool{},
	}
	for _, p := range d.settings.Places {
		s.next[p.Place] = hosts
	}
	return s
}

// target is what one fault hits; all of it is drawn before the fault begins,
// so that the schedule follows from the seed alone.
type target struct {
	place  primrosespar.Place
	region string
	turn   int
	last   time.Duration
	draw   uint64
}

// cause causes one fault, waits and ends it.
type cause func(s *schedule, ctx context.Context, t target) error

// mixes are the sets of faults by name.
func mixes() map[string][]string {
	m := map[string][]string{
		"store":    {"outage", "slow", "lose"},
		"hosts":    {"kill", "freeze"},
		"place":    {"replace", "cut"},
		"upstream": {"misbehave", "leave"},
		"stop":     {"stop"},
		"workers":  {"worker"},
	}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		m["mix"] = append(m["mix"], m[name]...)
	}
	return m
}

func causes() map[string]cause {
	return map[string]cause{
		"outage":    (*schedule).outage,
		"slow":      (*schedule).slow,
		"lose":      (*schedule).lose,
		"kill":      (*schedule).kill,
		"freeze":    (*schedule).freeze,
		"replace":   (*schedule).replace,
		"cut":       (*schedule).cut,
		"misbehave": (*schedule).misbehave,
		"leave":     (*schedule).leave,
		"stop":      (*schedule).stop,
		"worker":    (*schedule).worker,
	}
}

// run causes two faults at once until ctx ends, in an order that brings each
// of the mix twice before any comes a third time.
func (s *schedule) run(ctx context.Context, faults []string) {
	all := causes()
	var queue []string
	pause(ctx, warmUp)
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for range 2 {
			if len(queue) == 0 {
				queue = slices.Concat(faults, faults)
				s.random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
			}
			fault := queue[0]
			queue = queue[1:]
			t := s.target()
			wg.Go(func() {
				if err := all[fault](s, ctx, t); err != nil {
					s.mu.Lock()
					s.errs = append(s.errs, err)
					s.mu.Unlock()
				}
			})
		}
		wg.Wait()
		pause(ctx, faultPause)
	}
}

func (s *schedule) target() target {
	places := s.deployment.settings.Places
	p := places[s.random.IntN(len(places))]
	return target{
		place: p.Place, region: p.Region, turn: s.random.IntN(1 << 16),
		last: shortestFault + time.Duration(s.random.Int64N(int64(longestFault-shortestFault))),
		draw: s.random.Uint64(),
	}
}

// pause waits, but not beyond the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// record adds a window that ends now.
func (s *schedule) record(w window) {
	w.To = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windows = append(s.windows, w)
	say(s.deployment.name, "%-12s %-12s %-14s %5.1fs", w.Fault, w.Place, w.Host, w.To.Sub(w.From).Seconds())
}

// setStore changes the faults of the store.
func (s *schedule) setStore(change func(*keeper.Faults)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.store)
	return s.deployment.admin(context.Background(), http.MethodPut, "/admin/faults", s.store, nil)
}

// storeFault turns a fault of the store on for a while.
func (s *schedule) storeFault(ctx context.Context, name string, last time.Duration, on, off func(*keeper.Faults)) error {
	from := time.Now()
	if err := s.setStore(on); err != nil {
		return err
	}
	pause(ctx, last)
	defer s.record(window{Fault: name, From: from})
	return s.setStore(off)
}

func (s *schedule) outage(ctx context.Context, t target) error {
	return s.storeFault(ctx, "outage", max(t.last, shortestOutage),
		func(f *keeper.Faults) { f.Outage, f.ObjectsOutage, f.Silent = true, true, t.draw%2 == 0 },
		func(f *keeper.Faults) { f.Outage, f.ObjectsOutage, f.Silent = false, false, false })
}

func (s *schedule) slow(ctx context.Context, t target) error {
	return s.storeFault(ctx, "slow", t.last,
		func(f *keeper.Faults) { f.Slow = time.Duration(200+t.draw%1200) * time.Millisecond },
		func(f *keeper.Faults) { f.Slow = 0 })
}

func (s *schedule) lose(ctx context.Context, t target) error {
	return s.storeFault(ctx, "lose", t.last,
		func(f *keeper.Faults) { f.LoseEvery = 2 + int(t.draw%3) },
		func(f *keeper.Faults) { f.LoseEvery = 0 })
}

// take chooses a host of the place unless another fault of hosts is at work
// there: two of them would leave no host, which is a fault of its own.
func (s *schedule) take(t target) *entryHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[t.place] {
		return nil
	}
	host := s.deployment.pick(t.place, t.turn)
	s.busy[t.place] = host != nil
	return host
}

func (s *schedule) free(place primrosespar.Place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[place] = false
}

// kill kills a host and restarts it under its name. The balancer notices after
// a while, and until then callers still try the host.
func (s *schedule) kill(ctx context.Context, t target) error {
	host := s.take(t)
	if host == nil {
		return nil
	}
	defer s.free(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGKILL)
	<-host.process.done
	pause(ctx, min(t.last, probePeriod))
	s.deployment.drop(host)
	pause(ctx, t.last-min(t.last, probePeriod))
	defer s.record(window{Fault: "kill", Place: t.place, Host: string(host.name), Process: host.process.cmd.Process.Pid, From: from})
	return s.deployment.restart(context.WithoutCancel(ctx), host, t.region)
}

// freeze stops the process of a host and lets it go on.
func (s *schedule) freeze(ctx context.Context, t target) error {
	host := s.take(t)
	if host == nil {
		return nil
	}
	defer s.free(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGSTOP)
	pause(ctx, t.last)
	host.process.signal(syscall.SIGCONT)
	s.record(window{Fault: "freeze", Place: t.place, Host: string(host.name), Process: host.process.cmd.Process.Pid, From: from})
	return nil
}

// restart starts a host again under its name.
func (d *deployment) restart(ctx context.Context, h *entryHost, region string) error {
	return d.startNamed(ctx, h.name, h.place, region)
}
