package main

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// faultWindow is the time of one fault. Place and Host are empty if it concerns all.
type faultWindow struct {
	Fault string             `json:"fault"`
	Place primrosespar.Place `json:"place,omitempty"`
	Host  string             `json:"host,omitempty"`
	// PID is the process that the fault hit, if it hit one.
	PID  int       `json:"process,omitempty"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// trialFaults causes the faults of a trial.
type trialFaults struct {
	deployment *deployment
	random     *rand.Rand

	mu              sync.Mutex
	storeFaults     keeper.Faults
	nextHostIndex   map[primrosespar.Place]int
	hostFaultActive map[primrosespar.Place]bool
	windows         []faultWindow
	leavingSince    map[netip.AddrPort]time.Time
	errs            []error
}

// Times of the faults: longer than the detection of a dead host (3 s) and, in
// part, than the lease time of a place (6 s).
const (
	minFaultDuration = 1500 * time.Millisecond
	maxFaultDuration = 8 * time.Second
	faultInterval    = 500 * time.Millisecond
	// warmUpTime lets keys run that are called again during the first fault.
	warmUpTime = 2 * time.Second
	// minOutageDuration lets calls happen after every host has noticed it.
	minOutageDuration = 2 * restrictedAfter
	// listLag is the age of the host list, as in the demonstration.
	listLag = time.Second
	// probeInterval is how soon the balancer notices that a host is not ready;
	// it is below the grace of a planned stop.
	probeInterval = time.Second
)

func newTrialFaults(d *deployment, seed uint64, hostsPerPlace int) *trialFaults {
	f := &trialFaults{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), storeFaults: keeper.Faults{ListLag: listLag},
		leavingSince: map[netip.AddrPort]time.Time{}, nextHostIndex: map[primrosespar.Place]int{}, hostFaultActive: map[primrosespar.Place]bool{},
	}
	for _, p := range d.settings.Places {
		f.nextHostIndex[p.Place] = hostsPerPlace
	}
	return f
}

// faultTarget is what one fault hits; all of it is drawn before the fault begins,
// so that the schedule follows from the seed alone.
type faultTarget struct {
	place    primrosespar.Place
	region   string
	choice   int
	duration time.Duration
	variant  uint64
}

// faultFunc causes one fault, waits and ends it.
type faultFunc func(s *trialFaults, ctx context.Context, t faultTarget) error

// faultMixes are the sets of faults by name.
func faultMixes() map[string][]string {
	byName := map[string][]string{
		"store":    {"outage", "slow", "lose"},
		"hosts":    {"kill", "freeze"},
		"place":    {"replace", "cut"},
		"upstream": {"misbehave", "leave"},
		"stop":     {"stop"},
		"workers":  {"worker"},
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		byName["mix"] = append(byName["mix"], byName[name]...)
	}
	return byName
}

func faultFuncs() map[string]faultFunc {
	return map[string]faultFunc{
		"outage":    (*trialFaults).storeOutage,
		"slow":      (*trialFaults).slowStore,
		"lose":      (*trialFaults).loseCommitAnswers,
		"kill":      (*trialFaults).killHost,
		"freeze":    (*trialFaults).freezeHost,
		"replace":   (*trialFaults).replaceHosts,
		"cut":       (*trialFaults).cutPlace,
		"misbehave": (*trialFaults).disturbUpstreams,
		"leave":     (*trialFaults).markUpstreamLeaving,
		"stop":      (*trialFaults).stopHost,
		"worker":    (*trialFaults).disturbWorker,
	}
}

// run causes two faults at once until ctx ends, in an order that brings each
// of the mix twice before any comes a third time.
func (f *trialFaults) run(ctx context.Context, mix []string) {
	funcs := faultFuncs()
	var queue []string
	sleepContext(ctx, warmUpTime)
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for range 2 {
			if len(queue) == 0 {
				queue = slices.Concat(mix, mix)
				f.random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
			}
			fault := queue[0]
			queue = queue[1:]
			t := f.drawTarget()
			wg.Go(func() {
				if err := funcs[fault](f, ctx, t); err != nil {
					f.mu.Lock()
					f.errs = append(f.errs, err)
					f.mu.Unlock()
				}
			})
		}
		wg.Wait()
		sleepContext(ctx, faultInterval)
	}
}

func (f *trialFaults) drawTarget() faultTarget {
	places := f.deployment.settings.Places
	p := places[f.random.IntN(len(places))]
	return faultTarget{
		place: p.Place, region: p.Region, choice: f.random.IntN(1 << 16),
		duration: minFaultDuration + time.Duration(f.random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		variant:  f.random.Uint64(),
	}
}

// sleepContext waits, but not beyond the end of ctx.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordWindow adds a window that ends now.
func (f *trialFaults) recordWindow(w faultWindow) {
	w.To = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.windows = append(f.windows, w)
	logf(f.deployment.name, "%-12s %-12s %-14s %5.1fs", w.Fault, w.Place, w.Host, w.To.Sub(w.From).Seconds())
}

// reserveHost chooses a host of the place unless another fault of hosts is at work
// there: two of them would leave no host, which is a fault of its own.
func (f *trialFaults) reserveHost(t faultTarget) *entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hostFaultActive[t.place] {
		return nil
	}
	host := f.deployment.pickHost(t.place, t.choice)
	f.hostFaultActive[t.place] = host != nil
	return host
}

func (f *trialFaults) releasePlace(place primrosespar.Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostFaultActive[place] = false
}
