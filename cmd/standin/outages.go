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

// hostsOf returns the hosts of the place that the balancer uses.
func (d *deployment) hostsOf(place primrosespar.Place) []*entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*entryHost
	for _, h := range d.hosts {
		if h.place == place && !h.gone {
			live = append(live, h)
		}
	}
	return live
}

// replace kills all hosts of a place at once and starts others under new names.
func (s *schedule) replace(ctx context.Context, t target) error {
	if s.take(t) == nil {
		return nil
	}
	defer s.free(t.place)
	ctx = context.WithoutCancel(ctx)
	from := time.Now()
	old := s.deployment.hostsOf(t.place)
	for _, h := range old {
		h.process.signal(syscall.SIGKILL)
	}
	var topology server.Topology
	for _, h := range old {
		<-h.process.done
		s.deployment.drop(h)
		topology.RemoveHosts = append(topology.RemoveHosts, h.name)
	}
	if err := s.deployment.register(ctx, topology); err != nil {
		return err
	}
	for range old {
		s.mu.Lock()
		number := s.next[t.place]
		s.next[t.place]++
		s.mu.Unlock()
		if err := s.deployment.startHost(ctx, t.place, t.region, number); err != nil {
			return err
		}
	}
	s.record(window{Fault: "replace", Place: t.place, From: from})
	return nil
}

// cut separates a place from store, list and workers for a while.
func (s *schedule) cut(ctx context.Context, t target) error {
	from := time.Now()
	if err := s.setCut(t.place, true); err != nil {
		return err
	}
	pause(ctx, t.last)
	defer s.record(window{Fault: "cut", Place: t.place, From: from})
	return s.setCut(t.place, false)
}

func (s *schedule) setCut(place primrosespar.Place, cut bool) error {
	err := s.setStore(func(f *keeper.Faults) {
		f.Cut = slices.DeleteFunc(f.Cut, func(p primrosespar.Place) bool { return p == place })
		if cut {
			f.Cut = append(f.Cut, place)
		}
	})
	if err != nil {
		return err
	}
	return s.deployment.admin(context.Background(), http.MethodPost, "/admin/cut", server.PlaceCut{Place: place, Cut: cut}, nil)
}

// misbehave makes a third of the service runners slow, cut their answers short
// or fail, each kind for a part of the requests.
func (s *schedule) misbehave(ctx context.Context, t target) error {
	const share = 0.08
	from := time.Now()
	m := servicer.Faults{
		Seed: t.draw, Slow: share, SlowTime: 2 * time.Second,
		Truncated: share, Unended: share, Closed: share, Failed: share,
	}
	for _, state := range []servicer.Faults{m, {}} {
		for i, address := range s.deployment.upstreams {
			if (i+t.turn)%3 != 0 {
				continue
			}
			if err := callJSON(context.Background(), http.MethodPut, "http://"+address.String()+"/admin/misbehaviour", state, nil); err != nil {
				return err
			}
		}
		if state.Slow > 0 {
			pause(ctx, t.last)
		}
	}
	s.record(window{Fault: "misbehave", From: from})
	return nil
}

// leave makes a service runner leave for good.
func (s *schedule) leave(ctx context.Context, t target) error {
	address := s.deployment.upstreams[t.turn%len(s.deployment.upstreams)]
	from := time.Now()
	if err := callJSON(context.Background(), http.MethodPut, "http://"+address.String()+"/admin/leaving", nil, nil); err != nil {
		return err
	}
	s.mu.Lock()
	if s.left[address].IsZero() {
		s.left[address] = time.Now()
	}
	s.mu.Unlock()
	pause(ctx, shortestFault)
	s.record(window{Fault: "leave", Host: fmt.Sprint(address), From: from})
	return nil
}

// stop ends a host by SIGTERM under load and starts it again. The balancer
// sends nothing more once its probe has seen that the host is not ready.
func (s *schedule) stop(ctx context.Context, t target) error {
	host := s.take(t)
	if host == nil {
		return nil
	}
	defer s.free(t.place)
	from := time.Now()
	host.process.signal(syscall.SIGTERM)
	time.Sleep(probePeriod)
	s.deployment.drop(host)
	<-host.process.done
	defer s.record(window{Fault: "stop", Place: t.place, Host: string(host.name), Process: host.process.cmd.Process.Pid, From: from})
	return s.deployment.restart(context.WithoutCancel(ctx), host, t.region)
}

// worker kills a worker, cuts it off or lets it fail everything for a while.
func (s *schedule) worker(ctx context.Context, t target) error {
	kinds := [][2]string{{"kill", "restore"}, {"unreachable", "reachable"}, {"fail_all", "heal"}}
	kind := kinds[t.draw%3]
	name := primrosespar.Worker(fmt.Sprintf("%s-w%02d", t.place, t.turn%workersPerPlace))
	from := time.Now()
	for i, k := range kind {
		if err := s.deployment.admin(context.Background(), http.MethodPost, "/admin/worker", server.WorkerFault{Worker: name, Kind: k}, nil); err != nil {
			return err
		}
		if i == 0 {
			pause(ctx, t.last)
		}
	}
	s.record(window{Fault: "worker_" + kind[0], Place: t.place, From: from})
	return nil
}

// leavingBound is the time within which no host sends to a leaving upstream:
// a host that was refused passes it on by heartbeat within 2 s; the list lags
// 1 s and is read every 2 s.
const leavingBound = 4 * time.Second

// judgeLeaving checks that leaving upstreams get no new requests.
func judgeLeaving(f *findings, seen map[string]int, left map[netip.AddrPort]time.Time, departures map[netip.AddrPort]servicer.Departure) {
	for address := range left {
		d := departures[address]
		if d.FirstRefusal.IsZero() {
			continue
		}
		seen["upstreams_left"]++
		if late := d.LastRequest.Sub(d.FirstRefusal); late > leavingBound {
			f.add("request_after_leaving", "upstream %s got a request %s after its first refusal", address, late)
		}
	}
}

// judgeStops checks that a planned stop cuts no call in flight. A call whose
// connection was refused was not in flight.
func judgeStops(f *findings, seen map[string]int, calls []call, windows []window) {
	for _, w := range windows {
		if w.Fault != "stop" {
			continue
		}
		for _, c := range calls {
			if c.Process != w.Process || c.End.Before(w.From) {
				continue
			}
			seen["calls_during_stop"]++
			if c.Cut {
				f.add("cut_by_stop", "key %s at %s began %s after the signal and was cut", c.Key, c.Host, c.Start.Sub(w.From))
			}
		}
	}
}
