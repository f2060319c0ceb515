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

// faultWindow is the time during which a fault was active. An empty Place or
// Host means that the fault affected all of them.
type faultWindow struct {
	Fault string             `json:"fault"`
	Place primrosespar.Place `json:"place,omitempty"`
	Host  string             `json:"host,omitempty"`
	// PID is the process that the fault affected, or 0.
	PID  int       `json:"process,omitempty"`
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// trialFaults injects the faults of a trial and records their windows.
type trialFaults struct {
	deployment *deployment
	random     *rand.Rand

	mu          sync.Mutex
	storeFaults keeper.Faults
	// nextHostIndex is the index of the next new host of a place.
	nextHostIndex map[primrosespar.Place]int
	// hostFaultActive is set while a fault affects the hosts of a place.
	hostFaultActive map[primrosespar.Place]bool
	windows         []faultWindow
	// leavingSince is when each leaving upstream was first told to leave.
	leavingSince map[netip.AddrPort]time.Time
	errs         []error
}

// Times of the faults.
const (
	// Faults last from less than the detection time of a dead host (3 s) to
	// more than the lease time of a place (6 s).
	minFaultDuration = 1500 * time.Millisecond
	maxFaultDuration = 8 * time.Second
	faultInterval    = 500 * time.Millisecond
	// warmUpTime lets requests run whose keys are repeated during the first
	// fault.
	warmUpTime = 2 * time.Second
	// minOutageDuration leaves time for calls after every host has noticed the
	// outage.
	minOutageDuration = 2 * restrictedAfter
	// listLag is the lag of the host list, the same as in the demonstration.
	listLag = time.Second
	// probeInterval is the time until the load balancer notices that a host is
	// not ready. It is shorter than the grace period of a planned stop.
	probeInterval = time.Second
)

// newTrialFaults returns the faults of a deployment that has hostsPerPlace
// hosts in every place.
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

// faultTarget holds the parameters of one fault. All of them are drawn before
// the fault begins, so that the schedule depends on the seed alone.
type faultTarget struct {
	place  primrosespar.Place
	region string
	// choice selects the host, worker or upstream.
	choice   int
	duration time.Duration
	// variant determines the kind, the strength or the seed of the fault.
	variant uint64
}

// faultFunc injects one fault, waits for its duration and ends it.
type faultFunc func(f *trialFaults, ctx context.Context, t faultTarget) error

// faultMixes returns the fault mixes by name: the faults that a trial injects.
// The mix named mix has all faults.
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

// faultFuncs returns the function that injects each fault.
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

// run injects two faults at a time until ctx ends. Every fault of the mix
// occurs twice, in random order, before any occurs a third time.
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

// drawTarget draws the parameters of the next fault.
func (f *trialFaults) drawTarget() faultTarget {
	places := f.deployment.settings.Places
	p := places[f.random.IntN(len(places))]
	return faultTarget{
		place: p.Place, region: p.Region, choice: f.random.IntN(1 << 16),
		duration: minFaultDuration + time.Duration(f.random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		variant:  f.random.Uint64(),
	}
}

// sleepContext waits for the duration or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordWindow records a window that ends now.
func (f *trialFaults) recordWindow(w faultWindow) {
	w.To = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.windows = append(f.windows, w)
	logf(f.deployment.name, "%-12s %-12s %-14s %5.1fs", w.Fault, w.Place, w.Host, w.To.Sub(w.From).Seconds())
}

// reserveHost selects a host of the place, or nil while another fault affects
// the hosts there: two host faults at once could leave the place without a
// host, which is the fault that replaceHosts injects.
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

// releasePlace allows the next host fault in the place.
func (f *trialFaults) releasePlace(place primrosespar.Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostFaultActive[place] = false
}
