package registrar_test

import (
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// FuzzRow feeds any value of a row to the list of evacuations, which its key
// alone puts in force.
func FuzzRow(f *testing.F) {
	f.Add([]byte{0x81, 0x19, 0x27, 0x10})
	f.Add([]byte("not CBOR"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		_, err := table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.EvacuationKey("b"), Value: value}}})
		require.NoError(t, err)
		all, err := newRegistrar(t, table, &platform{}).Evacuations(t.Context())
		require.NoError(t, err)
		require.Len(t, all, 2)
		require.Equal(t, primrosespar.Place("b"), all[1].Place)
		_, err = json.Marshal(all[1])
		require.NoError(t, err, "operators can read it")
	})
}
