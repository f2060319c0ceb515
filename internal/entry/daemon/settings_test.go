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

// changedSettings returns the keys of the limits and timeouts, each with a
// value that is not the default and what the parts must receive for it.
func changedSettings() map[string]struct {
	value string
	want  any
} {
	type setting = struct {
		value string
		want  any
	}
	return map[string]setting{
		"body_bytes":       {"200000", [2]int{200000, 200000}},
		"answer_bytes":     {"5000", int64(5000)},
		"requests":         {"7", 7},
		"connection_bytes": {"10000000", [2]int64{10_000_000, 5_000_000}},
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

// runtimeKeys are the keys that only a running daemon uses: connections for
// limiter.New, which has its own test, and drain for the graceful stop.
const runtimeKeys = "connections drain"

func parseSettings(t *testing.T, extra string) configurer.Settings {
	t.Helper()
	data, err := os.ReadFile("../../../examples/coop/burnie-a.toml")
	require.NoError(t, err)
	s, err := configurer.Parse([]byte(string(data) + extra))
	require.NoError(t, err)
	return s
}

// TestSettingsTakeEffect guards against keys without effect: each key must be
// in changedSettings, its part must receive the changed value, and no other
// part may change.
func TestSettingsTakeEffect(t *testing.T) {
	defaults := daemon.AppliedSettings(parseSettings(t, ""))
	for _, table := range configurer.Fields() {
		if table.Key != "limits" && table.Key != "timeouts" {
			continue
		}
		for _, field := range table.Fields {
			if strings.Contains(runtimeKeys, field.Key) {
				continue
			}
			setting, listed := changedSettings()[field.Key]
			require.True(t, listed, "no check that %s.%s has an effect", table.Key, field.Key)
			got := daemon.AppliedSettings(parseSettings(t, "["+table.Key+"]\n"+field.Key+" = "+setting.value+"\n"))
			for key, value := range got {
				want := defaults[key]
				if key == field.Key {
					want = setting.want
				}
				require.Equal(t, want, value, "%s after a change of %s", key, field.Key)
			}
		}
	}
}

// hangingHosts is a host list that does not answer.
type hangingHosts struct{}

func (hangingHosts) List(ctx context.Context, _ primrosespar.Place) (primrosespar.Directory, error) {
	<-ctx.Done()
	return primrosespar.Directory{}, ctx.Err()
}

// TestPlatformCallTimesOut guards against a platform that accepts a call, never
// answers and so blocks a loop of the daemon for ever.
func TestPlatformCallTimesOut(t *testing.T) {
	s := parseSettings(t, "[timeouts]\nplatform_call = \"300ms\"\n")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start := time.Now()
		require.ErrorIs(t, daemon.New(s, daemon.Platform{Hosts: hangingHosts{}}).List(ctx), context.DeadlineExceeded)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
	})
}
