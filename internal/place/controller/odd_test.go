package controller_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// TestOddRowsOfThePlaceCostThoseRows guards against a row of a job, a message, a
// list of quarantines or a lease that cannot be decoded and keeps each host from
// scheduling the place, or hides all jobs from their callers.
func TestOddRowsOfThePlaceCostThoseRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		deep := bytes.Repeat([]byte("["), 20_000)
		var writes []primrosespar.Write
		for key, value := range map[string][]byte{
			primrosespar.GangKey(place, primrosespar.JobID(place+".odd")):        deep,
			primrosespar.GangKey(place, primrosespar.JobID(place+".number")):     []byte(`{"state":"queued","attempt":1e400}`),
			primrosespar.InboxCancelKey(place, primrosespar.JobID(place+".odd")): deep,
			primrosespar.QuarantineKey(place):                                    []byte("\xff"),
			primrosespar.LeaseKey(place):                                         []byte(`{"token":-1}`),
		} {
			writes = append(writes, primrosespar.Write{Key: key, Value: value})
		}
		_, err := env.table.Commit(t.Context(), primrosespar.Txn{Writes: writes})
		require.NoError(t, err)
		defer env.startHost()()
		id := env.submit("beta", 1, 8, time.Second, false)
		env.awaitState(id, primrosespar.GangDone, 30*time.Second)
		jobs, err := env.jobs.List(t.Context(), place, "beta")
		require.NoError(t, err)
		require.Len(t, jobs, 1)
	})
}
