package daemon

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// status returns the state of the place as this host knows it.
func (h *host) status() caller.StatusAnswer {
	s := h.daemon.settings
	view, age := h.follower.View()
	holder, _ := h.leaser.Holder()
	answer := caller.StatusAnswer{
		Host: s.Host, Place: s.Place, Version: h.daemon.options.Version,
		Revision: view.Revision, ViewAge: caller.Duration(age.Round(time.Millisecond)),
		Restricted: !h.follower.Current(), Holder: holder.Host,
	}
	if state, held := h.controller.State(); held {
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

// hostStatus returns the state of one host of the place. The revision of a peer
// is that of its last heartbeat.
func (h *host) hostStatus(name primrosespar.Host, alive, draining bool, ownRevision primrosespar.Revision) caller.HostStatus {
	status := caller.HostStatus{Host: name, Alive: alive, Draining: draining, Revision: ownRevision}
	if name != h.daemon.settings.Host {
		h.members.mu.Lock()
		status.Revision = h.members.peers[name].revision
		h.members.mu.Unlock()
	}
	return status
}
