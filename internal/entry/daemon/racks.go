package daemon

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// racksAge is how old the known racks may be. Their shape changes by hand, and
// a fresh list of 4,400 workers is about 1 MB.
const racksAge = time.Minute

// racks caches the workers of all places.
type racks struct {
	workers primrosespar.Workers
	clock   primrosespar.Clock
	places  []configurer.PlaceSettings

	mu    sync.Mutex
	known []primrosespar.WorkerEntry
	read  time.Time
}

func newRacks(workers primrosespar.Workers, clock primrosespar.Clock, places []configurer.PlaceSettings) *racks {
	return &racks{workers: workers, clock: clock, places: places}
}

// all returns the workers of every place. A place that cannot be read fails
// the whole list, since a pack check without it would be wrong.
func (r *racks) all(ctx context.Context) ([]primrosespar.WorkerEntry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.read.IsZero() && r.clock.Since(r.read) < racksAge {
		return r.known, nil
	}
	var found []primrosespar.WorkerEntry
	for _, p := range r.places {
		entries, _, err := r.workers.Changes(ctx, p.Place, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			e.Tasks = nil
			found = append(found, e)
		}
	}
	r.known, r.read = found, r.clock.Now()
	return found, nil
}

// check refuses a shape that no rack of any place could ever hold. With no
// list at hand the planner decides later.
func (r *racks) check(shape primrosespar.Shape) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entries, err := r.all(ctx)
	if err != nil || shape.Block == 0 {
		return nil //nolint:nilerr // the planner refuses it when it can be read
	}
	need := shape.Block
	if shape.OneRack {
		need = shape.Accelerators()
	}
	largest := largestRack(entries)
	if need > largest {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"the shape needs %d adjacent accelerators, the largest rack has %d", need, largest)
	}
	return nil
}

func largestRack(entries []primrosespar.WorkerEntry) int {
	type rack struct {
		place primrosespar.Place
		name  primrosespar.Rack
	}
	sizes := map[rack]int{}
	largest := 0
	for _, e := range entries {
		key := rack{e.Place, e.Rack}
		sizes[key] += e.Accelerators
		largest = max(largest, sizes[key])
	}
	return largest
}

func placesOf(settings []configurer.PlaceSettings) []primrosespar.Place {
	places := make([]primrosespar.Place, 0, len(settings))
	for _, p := range settings {
		places = append(places, p.Place)
	}
	return places
}

func tokensOf(s configurer.Settings) []authorizer.Token {
	var tokens []authorizer.Token
	for _, c := range s.Callers {
		tokens = append(tokens, authorizer.Token{Secret: string(c.Token), Role: authorizer.RoleCaller, Account: c.Account})
	}
	for _, o := range s.Operators {
		tokens = append(tokens, authorizer.Token{Secret: string(o.Token), Role: authorizer.RoleOperator, Name: o.Operator})
	}
	return tokens
}

// status describes the place as this host sees it.
func (h *host) status() caller.StatusAnswer {
	s := h.daemon.settings
	view, age := h.contracts.View()
	holder, _ := h.lease.Holder()
	answer := caller.StatusAnswer{
		Host: s.Host, Place: s.Place, Version: h.daemon.options.Version,
		Revision: view.Revision, ViewAge: caller.Duration(age.Round(time.Millisecond)),
		Restricted: !h.contracts.Current(), Holder: holder.Host,
	}
	if state, held := h.runner.State(); held {
		answer.State = &state
	}
	membership := h.dispatcher.View()
	for _, name := range membership.Live {
		answer.Hosts = append(answer.Hosts, h.hostStatus(name, true, false, view.Revision))
	}
	for _, name := range membership.Draining {
		answer.Hosts = append(answer.Hosts, h.hostStatus(name, true, true, view.Revision))
	}
	for _, name := range append(membership.Dead, membership.Silent...) {
		answer.Hosts = append(answer.Hosts, h.hostStatus(name, false, false, view.Revision))
	}
	for _, u := range h.dispatcher.Upstreams() {
		answer.Upstreams = append(answer.Upstreams, caller.UpstreamStatus{
			Upstream: u.Upstream, Slots: u.Slots, Used: u.Used, Leaving: u.Leaving, Ejected: u.Ejected,
		})
	}
	return answer
}

func (h *host) hostStatus(name primrosespar.Host, alive, draining bool, own primrosespar.Revision) caller.HostStatus {
	status := caller.HostStatus{Host: name, Alive: alive, Draining: draining, Revision: own}
	if name != h.daemon.settings.Host {
		h.members.mu.Lock()
		status.Revision = h.members.peers[name].revision
		h.members.mu.Unlock()
	}
	return status
}
