package commander_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/service/commander"
)

// TestDoReportsInvalidAnswers guards against an invalid answer that is taken
// for the results of the commands.
func TestDoReportsInvalidAnswers(t *testing.T) {
	for body, want := range map[string]primrosespar.Code{
		`{"results":[{"code":706}]}`: primrosespar.CodeOK,
		`{"results":[]}`:             primrosespar.CodeWorkerLost,
		`{"res`:                      primrosespar.CodeWorkerLost,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		client := commander.New(server.URL, "a", commander.WithTimeout(time.Minute))
		results, err := client.Do(t.Context(), "a", 1, make([]primrosespar.Command, 1))
		server.Close()
		require.Equal(t, want, primrosespar.CodeOf(err), body)
		if err == nil {
			require.Equal(t, primrosespar.CodeStaleToken, results[0].Code)
		}
	}
}
