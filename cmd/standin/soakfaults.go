package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/internal/standin/proxier"
	"primrosespar.example/primrosespar/platform/standin"
)

// Limits of the faults.
const (
	maxSoakFaultGap      = 1500 * time.Millisecond
	maxSoakFaultDuration = 4 * time.Second
	// soakWarmUpTime is how long jobs come before the first fault.
	soakWarmUpTime = 3 * time.Second
	// waveWindow is the time window of a maintenance wave.
	waveWindow = 8 * time.Second
)

// soakFaults injects the faults of a soak, which may overlap.
type soakFaults struct {
	soak   *soak
	random *rand.Rand
	kinds  []trouble
	// tasks are the goroutines that end the active faults and restart hosts.
	tasks conc.WaitGroup
	// cutting is held while a region is cut off, quiet is set during a quiet cut,
	// and cutCount counts the drawn cuts.
	cutting  sync.Mutex
	quiet    atomic.Bool
	cutCount int
	// waveCount is the number of maintenance waves so far.
	waveCount int
	// evacuating is held while a region is evacuated.
	evacuating sync.Mutex
}

// newSoakFaults returns the faults of a soak without starting any.
func newSoakFaults(s *soak, random *rand.Rand) *soakFaults {
	return &soakFaults{soak: s, random: random, kinds: s.troubles.faults()}
}

// run injects faults for the duration and then ends all of them.
func (f *soakFaults) run(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	time.Sleep(min(soakWarmUpTime, d/2))
	for len(f.kinds) > 0 && time.Now().Before(end) && ctx.Err() == nil {
		f.injectNext(ctx)
		time.Sleep(time.Duration(f.random.Float64() * float64(maxSoakFaultGap)))
	}
	f.tasks.Wait()
	f.soak.fleet.Store().SetFaults(standin.StoreFaults{})
	for _, h := range f.soak.hosts {
		h.proxy.Set(proxier.Pass)
	}
	for _, w := range f.soak.fleet.Workers() {
		w.SetFaults(standin.WorkerFaults{})
	}
	f.restoreAll(ctx)
}

// checkWaves checks that the operator is told within the timeout that each
// maintenance wave is completed.
func (f *soakFaults) checkWaves(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for wave := 1; wave <= f.waveCount; wave++ {
		for !f.soak.fleet.Provider().Completed(wave) {
			if time.Now().After(end) {
				f.soak.fleet.ReportViolation("maintenance wave %d is not completed %v after the faults", wave, timeout)
				break
			}
			time.Sleep(soakPollInterval)
		}
	}
}

// drawDuration draws the duration of a fault.
func (f *soakFaults) drawDuration() time.Duration {
	return time.Duration((0.1 + 0.9*f.random.Float64()) * float64(maxSoakFaultDuration))
}

// injectNext injects a random fault into a random host or worker, the store,
// the configuration or the provider.
func (f *soakFaults) injectNext(ctx context.Context) {
	h := f.soak.hosts[f.random.IntN(len(f.soak.hosts))]
	w := f.soak.fleet.Workers()[f.random.IntN(len(f.soak.fleet.Workers()))]
	duration := f.drawDuration()
	kind := f.drawKind()
	// Each fault draws for itself, so that one that is left out changes no other.
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	if f.quiet.Load() && slices.Contains([]trouble{troubleKill, troubleTerm, troubleFreeze, troubleLink, troubleStore}, kind) {
		return
	}
	f.soak.fleet.Remark(fmt.Sprintf("trouble %s, host %s, worker %s, %v", kind, h.name, w, duration))
	switch kind {
	case troubleKill:
		f.restart(ctx, h, syscall.SIGKILL, duration/4)
	case troubleTerm:
		f.restart(ctx, h, syscall.SIGTERM, duration/4)
	case troubleFreeze:
		h.signal(syscall.SIGSTOP)
		f.healAfter(duration, func() { h.signal(syscall.SIGCONT) })
	case troubleLink:
		h.proxy.Set([]proxier.Mode{proxier.Silent, proxier.Answerless, proxier.Reset, proxier.Delay}[random.IntN(4)])
		f.healAfter(duration, func() { h.proxy.Set(proxier.Pass) })
	case troubleStore:
		f.soak.fleet.Store().SetFaults([]standin.StoreFaults{
			{Busy: true}, {Silent: true}, {Slow: 300 * time.Millisecond}, {LoseEvery: 3},
		}[random.IntN(4)])
		f.healAfter(duration, func() { f.soak.fleet.Store().SetFaults(standin.StoreFaults{}) })
	case troubleWorker:
		w.SetFaults([]standin.WorkerFaults{
			{Silent: true}, {Late: 2 * time.Second}, {Fails: true}, {Hangs: true},
		}[random.IntN(4)])
		f.healAfter(2*duration, func() { w.SetFaults(standin.WorkerFaults{}) })
	case troubleRestart:
		w.Restart()
	case troubleConfig:
		f.soak.fleet.Configure(time.Duration(2+random.IntN(3)) * time.Second)
	case troubleReload:
		h.signal(syscall.SIGHUP)
	case troubleWave:
		f.waveCount++
		f.soak.fleet.Provider().StartWave(f.waveCount, 1+random.IntN(3), 1+random.IntN(2), waveWindow)
	case troubleReplace:
		w.Replace()
	case troubleRegion, troubleOneWay, troubleSeries:
		f.cutRegion(f.drawCut(random, kind))
	case troubleEvacuate:
		f.evacuate(ctx, f.drawEvacuation(random))
	case troubleFlap, troubleGrey, troubleLeave:
		f.disturbWorkers(random, kind, duration)
	default:
	}
}

// drawKind draws the kind of the next fault. The first is a cut where there are
// any, so that each seed has one.
func (f *soakFaults) drawKind() trouble {
	kinds := f.kinds
	if f.soak.troubles.cut() && f.cutCount == 0 {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(t trouble) bool {
			return t != troubleRegion && t != troubleOneWay && t != troubleSeries
		})
	}
	return kinds[f.random.IntN(len(kinds))]
}

// restart stops a host with the signal and starts it again after the downtime.
func (f *soakFaults) restart(ctx context.Context, h *soakHost, sig syscall.Signal, downtime time.Duration) {
	child := h.beginStop()
	if child == nil {
		return
	}
	child.signal(syscall.SIGCONT)
	child.signal(sig)
	f.tasks.Go(func() {
		<-child.done
		time.Sleep(downtime)
		if err := f.soak.startHost(ctx, h); err != nil {
			f.soak.fleet.ReportViolation("host %s did not start: %v", h.name, err)
		}
	})
}

// healAfter calls heal after the duration.
func (f *soakFaults) healAfter(d time.Duration, heal func()) {
	f.tasks.Go(func() {
		time.Sleep(d)
		heal()
	})
}
