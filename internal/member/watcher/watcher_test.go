package watcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

func heartbeat(host primrosespar.Host) primrosespar.Heartbeat {
	return primrosespar.Heartbeat{Host: host, Place: "p", Incarnation: "i"}
}

func hostEntry(host primrosespar.Host, leaving bool) primrosespar.HostEntry {
	return primrosespar.HostEntry{Host: host, Place: "p", Leaving: leaving}
}

// TestListAndHeartbeatsAreMerged guards against a view that relies on the
// lagging list alone: for a listed host that never responds, and for one that
// responds before it is listed.
func TestListAndHeartbeatsAreMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	w.SetList([]primrosespar.HostEntry{hostEntry("never", false), hostEntry("going", true), {Host: "far", Place: "q"}}, now)
	require.True(t, w.Observe(heartbeat("early"), now))
	require.False(t, w.Observe(primrosespar.Heartbeat{Host: "far", Place: "q"}, now))
	v := w.View(now)
	require.Equal(t, []primrosespar.Host{"early", "never", "self"}, v.Live)
	require.Equal(t, []primrosespar.Host{"going"}, v.Draining)
	for range 3 {
		now = now.Add(time.Second)
		w.Observe(heartbeat("early"), now)
		v = w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"early", "self"}, v.Live)
	require.Equal(t, []primrosespar.Host{"going", "never"}, v.Silent)
	require.Len(t, v.Targets, 3, "listed hosts that are silent remain targets")
	for range 3 {
		now = now.Add(time.Second)
		v = w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"early"}, v.Dead)
}

// TestOwnPauseLeavesPeersLive guards against a host that, after a pause of its
// own, counts all peers as dead and takes over their slots.
func TestOwnPauseLeavesPeersLive(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	w.Observe(heartbeat("peer"), now)
	require.Len(t, w.View(now).Live, 2)
	now = now.Add(10 * time.Second)
	require.Len(t, w.View(now).Live, 2)
	for range 3 {
		now = now.Add(time.Second)
		w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"peer"}, w.View(now).Dead)
}

// TestUpstreamsOfDeadPeerAreDropped guards against upstreams that stay leaving
// or ejected because a peer that is now dead reported them.
func TestUpstreamsOfDeadPeerAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	report := heartbeat("peer")
	report.Leaving, report.Ejected, report.Draining = []primrosespar.Upstream{"u"}, []primrosespar.Upstream{"v"}, true
	w.Observe(report, now)
	v := w.View(now)
	require.Equal(t, []primrosespar.Upstream{"u"}, v.Leaving)
	require.Equal(t, []primrosespar.Upstream{"v"}, v.Ejected)
	require.Equal(t, []primrosespar.Host{"peer"}, v.Draining)
	for range 3 {
		now = now.Add(time.Second)
		v = w.View(now)
	}
	require.Empty(t, v.Leaving)
}
