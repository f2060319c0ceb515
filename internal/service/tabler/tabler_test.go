package tabler_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/service/tabler"
)

// TestCommitErrors guards against reporting that nothing was written when the
// write may have taken effect, and against a second attempt in one call.
func TestCommitErrors(t *testing.T) {
	const abort = "abort"
	cases := []struct {
		status int
		body   string
		want   primrosespar.Code
	}{
		{200, `{"versions":[1]}`, primrosespar.CodeOK},
		{200, `{"versions":[]}`, primrosespar.CodeStoreUnknown},
		{200, `{"versio`, primrosespar.CodeStoreUnknown},
		{409, `{"code":402}`, primrosespar.CodeConflict},
		{503, `{"code":400}`, primrosespar.CodeStoreUnavailable},
		{503, `overloaded`, primrosespar.CodeStoreUnknown},
		{500, `{}`, primrosespar.CodeStoreUnknown},
		{200, abort, primrosespar.CodeStoreUnknown},
	}
	txn := primrosespar.Txn{Writes: []primrosespar.Write{{Key: "x"}}}
	for _, c := range cases {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			if c.body == abort {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		client := tabler.New(server.URL, "a", tabler.WithTimeout(time.Minute))
		_, err := client.Commit(t.Context(), txn)
		server.Close()
		require.Equal(t, c.want, primrosespar.CodeOf(err), c.body)
		require.Equal(t, 1, calls, c.body)
		// A new client has no pooled connection, so it is certain that nothing
		// was sent.
		_, err = tabler.New(server.URL, "a").Commit(t.Context(), txn)
		require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err), "the server is closed")
	}
}
