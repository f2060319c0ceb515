package watcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/watcher"
)

func beat(host primrosespar.Host) primrosespar.Heartbeat {
	return primrosespar.Heartbeat{Host: host, Place: "p", Incarnation: "i"}
}

func entry(host primrosespar.Host, leaving bool) primrosespar.HostEntry {
	return primrosespar.HostEntry{Host: host, Place: "p", Leaving: leaving}
}

// TestListAndHeartbeatsAreJoined guards against trust in the lagging list: a
// named host that never answers, and one that answers before it is named.
func TestListAndHeartbeatsAreJoined(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	w.SetList([]primrosespar.HostEntry{entry("never", false), entry("going", true), {Host: "far", Place: "q"}}, now)
	require.True(t, w.Observe(beat("early"), now))
	require.False(t, w.Observe(primrosespar.Heartbeat{Host: "far", Place: "q"}, now))
	v := w.View(now)
	require.Equal(t, []primrosespar.Host{"early", "never", "self"}, v.Live)
	require.Equal(t, []primrosespar.Host{"going"}, v.Draining)
	for range 3 {
		now = now.Add(time.Second)
		w.Observe(beat("early"), now)
		v = w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"early", "self"}, v.Live)
	require.Equal(t, []primrosespar.Host{"going", "never"}, v.Silent)
	require.Len(t, v.Targets, 3, "silent hosts that are listed are still tried")
	for range 3 {
		now = now.Add(time.Second)
		v = w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"early"}, v.Dead)
}

// TestOwnPauseKillsNoPeer guards against a host that resumes from a pause,
// counts all peers as dead and takes their slots.
func TestOwnPauseKillsNoPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	w.Observe(beat("peer"), now)
	require.Len(t, w.View(now).Live, 2)
	now = now.Add(10 * time.Second)
	require.Len(t, w.View(now).Live, 2)
	for range 3 {
		now = now.Add(time.Second)
		w.View(now)
	}
	require.Equal(t, []primrosespar.Host{"peer"}, w.View(now).Dead)
}

// TestPeersNameUpstreams guards against announcements of a dead peer that
// stay in force.
func TestPeersNameUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	w := watcher.New("self", "p")
	b := beat("peer")
	b.Leaving, b.Ejected, b.Draining = []primrosespar.Upstream{"u"}, []primrosespar.Upstream{"v"}, true
	w.Observe(b, now)
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
