package daemon_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/daemon"
)

// changed are the keys of limits and timeouts with a value that is not the
// default, and what of it must reach the parts.
func changed() map[string]struct {
	value string
	want  any
} {
	type row = struct {
		value string
		want  any
	}
	return map[string]row{
		"body_bytes":       {"200000", [2]int{200000, 200000}},
		"answer_bytes":     {"5000", int64(5000)},
		"requests":         {"7", 7},
		"minted_keys":      {"11", 11},
		"work_bytes":       {"999", 999},
		"record_decisions": {"17", 17},
		"record_bytes":     {"4000", 2000},
		"lease":            {`"7s"`, 7 * time.Second},
		"lease_renew":      {`"1500ms"`, 1500 * time.Millisecond},
		"view_validity":    {`"4s"`, 4 * time.Second},
		"view_poll":        {`"800ms"`, [2]time.Duration{800 * time.Millisecond, 1200 * time.Millisecond}},
		"worker_lease":     {`"12s"`, 12 * time.Second},
		"worker_renew":     {`"2s"`, 2 * time.Second},
		"peer_call":        {`"250ms"`, 250 * time.Millisecond},
		"platform_call":    {`"300ms"`, 300 * time.Millisecond},
	}
}

// runTime are the keys that only a running daemon applies: connections to
// limiter.New, which has a test of its own, drain to the planned stop.
const runTime = "connections drain"

func parse(t *testing.T, extra string) configurer.Settings {
	t.Helper()
	data, err := os.ReadFile("../../../examples/coop/burnie-a.toml")
	require.NoError(t, err)
	s, err := configurer.Parse([]byte(string(data) + extra))
	require.NoError(t, err)
	return s
}

// TestSettingsReachTheirParts guards against keys without effect: each key is
// in the table above, its change reaches the part, and no other part changes.
func TestSettingsReachTheirParts(t *testing.T) {
	standard := daemon.Applied(parse(t, ""))
	for _, table := range configurer.Fields() {
		if table.Key != "limits" && table.Key != "timeouts" {
			continue
		}
		for _, field := range table.Fields {
			if strings.Contains(runTime, field.Key) {
				continue
			}
			row, listed := changed()[field.Key]
			require.True(t, listed, "no check that %s.%s has an effect", table.Key, field.Key)
			got := daemon.Applied(parse(t, "["+table.Key+"]\n"+field.Key+" = "+row.value+"\n"))
			for key, value := range got {
				want := standard[key]
				if key == field.Key {
					want = row.want
				}
				require.Equal(t, want, value, "%s after a change of %s", key, field.Key)
			}
		}
	}
}

// silent is a host list that never answers.
type silent struct{}

func (silent) List(ctx context.Context, _ primrosespar.Place) (primrosespar.Directory, error) {
	<-ctx.Done()
	return primrosespar.Directory{}, ctx.Err()
}

// TestPlatformCallIsBounded guards against a platform that accepts a call and
// holds a loop of the daemon for ever.
func TestPlatformCallIsBounded(t *testing.T) {
	s := parse(t, "[timeouts]\nplatform_call = \"300ms\"\n")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start := time.Now()
		require.ErrorIs(t, daemon.New(s, daemon.Platform{Hosts: silent{}}).List(ctx), context.DeadlineExceeded)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
	})
}
