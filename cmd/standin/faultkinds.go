package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
	"primrosespar.example/primrosespar/internal/standin/server"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// setStoreFaults changes the active faults of the store.
func (f *trialFaults) setStoreFaults(change func(*keeper.Faults)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.storeFaults)
	return f.deployment.callAdmin(context.Background(), http.MethodPut, "/admin/faults", f.storeFaults, nil)
}

// injectStoreFault applies a fault to the store for the duration.
func (f *trialFaults) injectStoreFault(ctx context.Context, fault string, duration time.Duration, on, off func(*keeper.Faults)) error {
	from := time.Now()
	if err := f.setStoreFaults(on); err != nil {
		return err
	}
	sleepContext(ctx, duration)
	defer f.recordWindow(faultWindow{Fault: fault, From: from})
	return f.setStoreFaults(off)
}

// storeOutage makes the table and the object store unavailable; half of the
// outages drop the connections instead of answering.
func (f *trialFaults) storeOutage(ctx context.Context, t faultTarget) error {
	return f.injectStoreFault(ctx, "outage", max(t.duration, minOutageDuration),
		func(store *keeper.Faults) {
			store.Outage, store.ObjectsOutage, store.Silent = true, true, t.variant%2 == 0
		},
		func(store *keeper.Faults) { store.Outage, store.ObjectsOutage, store.Silent = false, false, false })
}

// slowStore delays every call of the store by 0.2 s to 1.4 s.
func (f *trialFaults) slowStore(ctx context.Context, t faultTarget) error {
	return f.injectStoreFault(ctx, "slow", t.duration,
		func(store *keeper.Faults) { store.Slow = time.Duration(200+t.variant%1200) * time.Millisecond },
		func(store *keeper.Faults) { store.Slow = 0 })
}

// loseCommitAnswers loses the answer of every second to fourth commit after it
// took effect.
func (f *trialFaults) loseCommitAnswers(ctx context.Context, t faultTarget) error {
	return f.injectStoreFault(ctx, "lose", t.duration,
		func(store *keeper.Faults) { store.LoseEvery = 2 + int(t.variant%3) },
		func(store *keeper.Faults) { store.LoseEvery = 0 })
}

// killHost kills a host and restarts it under the same name. Until the load
// balancer notices, callers still send to the host.
func (f *trialFaults) killHost(ctx context.Context, t faultTarget) error {
	host := f.reserveHost(t)
	if host == nil {
		return nil
	}
	defer f.releasePlace(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGKILL)
	<-host.process.done
	sleepContext(ctx, min(t.duration, probeInterval))
	f.deployment.removeFromLoadBalancer(host)
	sleepContext(ctx, t.duration-min(t.duration, probeInterval))
	defer f.recordWindow(faultWindow{Fault: "kill", Place: t.place, Host: string(host.name), PID: host.process.cmd.Process.Pid, From: from})
	return f.deployment.restartHost(context.WithoutCancel(ctx), host, t.region)
}

// freezeHost suspends the process of a host and resumes it.
func (f *trialFaults) freezeHost(ctx context.Context, t faultTarget) error {
	host := f.reserveHost(t)
	if host == nil {
		return nil
	}
	defer f.releasePlace(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGSTOP)
	sleepContext(ctx, t.duration)
	host.process.signal(syscall.SIGCONT)
	f.recordWindow(faultWindow{Fault: "freeze", Place: t.place, Host: string(host.name), PID: host.process.cmd.Process.Pid, From: from})
	return nil
}

// replaceHosts kills all hosts of a place at once and starts as many under new
// names.
func (f *trialFaults) replaceHosts(ctx context.Context, t faultTarget) error {
	if f.reserveHost(t) == nil {
		return nil
	}
	defer f.releasePlace(t.place)
	ctx = context.WithoutCancel(ctx)
	from := time.Now()
	old := f.deployment.liveHosts(t.place)
	for _, h := range old {
		h.process.signal(syscall.SIGKILL)
	}
	var topology server.Topology
	for _, h := range old {
		<-h.process.done
		f.deployment.removeFromLoadBalancer(h)
		topology.RemoveHosts = append(topology.RemoveHosts, h.name)
	}
	if err := f.deployment.updateTopology(ctx, topology); err != nil {
		return err
	}
	for range old {
		f.mu.Lock()
		index := f.nextHostIndex[t.place]
		f.nextHostIndex[t.place]++
		f.mu.Unlock()
		if err := f.deployment.startHost(ctx, t.place, t.region, index); err != nil {
			return err
		}
	}
	f.recordWindow(faultWindow{Fault: "replace", Place: t.place, From: from})
	return nil
}

// cutPlace cuts a place off from the store, the host list and the workers.
func (f *trialFaults) cutPlace(ctx context.Context, t faultTarget) error {
	from := time.Now()
	if err := f.setCut(t.place, true); err != nil {
		return err
	}
	sleepContext(ctx, t.duration)
	defer f.recordWindow(faultWindow{Fault: "cut", Place: t.place, From: from})
	return f.setCut(t.place, false)
}

// setCut cuts a place off from the platform or restores the connection.
func (f *trialFaults) setCut(place primrosespar.Place, cut bool) error {
	err := f.setStoreFaults(func(store *keeper.Faults) {
		store.Cut = slices.DeleteFunc(store.Cut, func(p primrosespar.Place) bool { return p == place })
		if cut {
			store.Cut = append(store.Cut, place)
		}
	})
	if err != nil {
		return err
	}
	return f.deployment.callAdmin(context.Background(), http.MethodPost, "/admin/cut", server.PlaceCut{Place: place, Cut: cut}, nil)
}

// disturbUpstreams makes a third of the upstreams delay, truncate or lose
// answers or fail requests.
func (f *trialFaults) disturbUpstreams(ctx context.Context, t faultTarget) error {
	// share is the part of the requests that each kind of fault affects.
	const share = 0.08
	from := time.Now()
	faults := servicer.Faults{
		Seed: t.variant, Slow: share, SlowTime: 2 * time.Second,
		Truncated: share, Unended: share, Closed: share, Failed: share,
	}
	for _, setting := range []servicer.Faults{faults, {}} {
		for i, address := range f.deployment.upstreams {
			if (i+t.choice)%3 != 0 {
				continue
			}
			if err := callJSON(context.Background(), http.MethodPut, "http://"+address.String()+"/admin/misbehaviour", setting, nil); err != nil {
				return err
			}
		}
		if setting.Slow > 0 {
			sleepContext(ctx, t.duration)
		}
	}
	f.recordWindow(faultWindow{Fault: "misbehave", From: from})
	return nil
}

// markUpstreamLeaving makes an upstream refuse new requests as leaving, for the
// rest of the trial.
func (f *trialFaults) markUpstreamLeaving(ctx context.Context, t faultTarget) error {
	address := f.deployment.upstreams[t.choice%len(f.deployment.upstreams)]
	from := time.Now()
	if err := callJSON(context.Background(), http.MethodPut, "http://"+address.String()+"/admin/leaving", nil, nil); err != nil {
		return err
	}
	f.mu.Lock()
	if f.leavingSince[address].IsZero() {
		f.leavingSince[address] = time.Now()
	}
	f.mu.Unlock()
	sleepContext(ctx, minFaultDuration)
	f.recordWindow(faultWindow{Fault: "leave", Host: fmt.Sprint(address), From: from})
	return nil
}

// stopHost stops a host with SIGTERM under load and restarts it. The load
// balancer stops sending to it once its probe finds that the host is not ready.
func (f *trialFaults) stopHost(ctx context.Context, t faultTarget) error {
	host := f.reserveHost(t)
	if host == nil {
		return nil
	}
	defer f.releasePlace(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGTERM)
	time.Sleep(probeInterval)
	f.deployment.removeFromLoadBalancer(host)
	<-host.process.done
	defer f.recordWindow(faultWindow{Fault: "stop", Place: t.place, Host: string(host.name), PID: host.process.cmd.Process.Pid, From: from})
	return f.deployment.restartHost(context.WithoutCancel(ctx), host, t.region)
}

// disturbWorker kills a worker, makes it unreachable or makes it fail every
// task, and reverts that after the duration.
func (f *trialFaults) disturbWorker(ctx context.Context, t faultTarget) error {
	pairs := [][2]string{{"kill", "restore"}, {"unreachable", "reachable"}, {"fail_all", "heal"}}
	steps := pairs[t.variant%3]
	name := primrosespar.Worker(fmt.Sprintf("%s-w%02d", t.place, t.choice%workersPerPlace))
	from := time.Now()
	for i, kind := range steps {
		if err := f.deployment.callAdmin(context.Background(), http.MethodPost, "/admin/worker", server.WorkerFault{Worker: name, Kind: kind}, nil); err != nil {
			return err
		}
		if i == 0 {
			sleepContext(ctx, t.duration)
		}
	}
	f.recordWindow(faultWindow{Fault: "worker_" + steps[0], Place: t.place, From: from})
	return nil
}

// maxLeavingDelay is the time after which no host may send to a leaving
// upstream: a refused host tells the others by heartbeat within 2 s. The host
// list is too slow to help, since it lags 1 s and is read every 5 s.
const maxLeavingDelay = 4 * time.Second

// checkLeaving checks that leaving upstreams get no requests after
// maxLeavingDelay from their first refusal.
func checkLeaving(v *violations, observed map[string]int, leavingSince map[netip.AddrPort]time.Time, departures map[netip.AddrPort]servicer.Departure) {
	for address := range leavingSince {
		d := departures[address]
		if d.FirstRefusal.IsZero() {
			continue
		}
		observed["upstreams_left"]++
		if delay := d.LastRequest.Sub(d.FirstRefusal); delay > maxLeavingDelay {
			v.add("request_after_leaving", "upstream %s got a request %s after its first refusal", address, delay)
		}
	}
}

// checkStops checks that a planned stop interrupts no call in flight. A call
// whose connection was refused was not in flight.
func checkStops(v *violations, observed map[string]int, calls []call, windows []faultWindow) {
	for _, w := range windows {
		if w.Fault != "stop" {
			continue
		}
		for _, c := range calls {
			if c.PID != w.PID || c.End.Before(w.From) {
				continue
			}
			observed["calls_during_stop"]++
			if c.Broken {
				v.add("cut_by_stop", "key %s: the call at %s that began %s after the signal was interrupted", c.Key, c.Host, c.Start.Sub(w.From))
			}
		}
	}
}
