package supervisor_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/supervisor"
)

// TestKeepRunsAPartAgainAfterAPanic checks that a panic is reported and that
// the part runs again until it returns.
func TestKeepRunsAPartAgainAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []string
		s := supervisor.New(clockwork.NewRealClock(), func(part string, err error) {
			reported = append(reported, part)
			require.ErrorContains(t, err, "index out of range")
		})
		runs := 0
		err := s.Keep(t.Context(), "catalog", func() error {
			runs++
			if runs < 3 {
				_ = []int{}[runs]
			}
			return eris.New("ended")
		})
		require.ErrorContains(t, err, "ended")
		require.Equal(t, 3, runs)
		require.Equal(t, []string{"catalog", "catalog"}, reported)
	})
}

// TestKeepEndsWithItsContext checks that a part which always panics does not
// outlive its context.
func TestKeepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		s := supervisor.New(clockwork.NewRealClock(), func(string, error) {
			if runs == 2 {
				cancel()
			}
		})
		require.Error(t, s.Keep(ctx, "catalog", func() error {
			runs++
			panic("broken")
		}))
		require.Equal(t, 2, runs)
	})
}
