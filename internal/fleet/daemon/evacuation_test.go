package daemon_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/daemon"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// noEvacuations is a primrosespar.EvacuationSource without requests.
type noEvacuations struct{}

// Evacuations implements primrosespar.EvacuationSource.
func (noEvacuations) Evacuations(context.Context) ([]primrosespar.Evacuation, error) { return nil, nil }

// TestEvacuationsNeedABound guards against a request that an operator believes to
// be in force where no holder reads it.
func TestEvacuationsNeedABound(t *testing.T) {
	for bound, code := range map[time.Duration]primrosespar.Code{
		0: primrosespar.CodeBadRequest, 5 * time.Second: primrosespar.CodeOK,
	} {
		clock := clockwork.NewRealClock()
		d, err := daemon.New(daemon.Settings{
			Host: "a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), EvacuationBound: bound,
		}, daemon.Backend{Table: keeper.New(keeper.WithClock(clock)), Source: source{}, Evacuations: noEvacuations{}}, daemon.WithClock(clock))
		require.NoError(t, err)
		_, err = d.Evacuate(t.Context(), "east")
		require.Equal(t, code, primrosespar.CodeOf(err))
		require.Equal(t, code, primrosespar.CodeOf(d.Restore(t.Context(), "east")))
		require.Empty(t, d.Evacuations(), "the host does not lead")
	}
}
