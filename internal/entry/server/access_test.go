package server_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/operator/caller"
)

// tokens are the callers of the table: none, an unknown one, one of the account
// of the job, one of another account and an operator.
func tokens() []string { return []string{"", "x", "caller", "other", "operator"} }

// TestAnswersByToken guards against a caller who reads or changes what belongs
// to another account. It is the table of docs/access.md for the stand-alone
// entry host.
func TestAnswersByToken(t *testing.T) {
	const job = `{"class":"allotment","shape":{"members":2,"block":4},"declared":"1h"}`
	f := newFixture(t)
	call := func(route, token, body string) (int, string) {
		method, path, _ := strings.Cut(route, " ")
		r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
		if token != "" {
			r.Header.Set("Authorization", "Bearer "+token)
		}
		w := httptest.NewRecorder()
		f.handler.ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
	status, body := call("POST /v1/jobs", "caller", job)
	require.Equal(t, http.StatusAccepted, status, body)
	var answer caller.JobAnswer
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	id := string(answer.ID)
	for _, c := range []struct {
		route, body string
		// statuses are the answers in the order of tokens.
		statuses []int
	}{
		{"GET /v1/jobs/" + id, "", []int{401, 401, 200, 404, 200}},
		{"GET /v1/jobs/burnie-a.00", "", []int{401, 401, 404, 404, 404}},
		{"GET /v1/jobs?place=burnie-a", "", []int{401, 401, 200, 200, 200}},
		{"POST /v1/jobs", strings.Replace(job, "{", `{"account":"derwent-haulage",`, 1), []int{401, 401, 202, 403, 202}},
		{"GET /v1/contracts/derwent-haulage", "", []int{401, 401, 200, 403, 200}},
		{"PUT /v1/contracts/derwent-haulage", "", []int{401, 401, 403, 403, 400}},
		{"GET /v1/contracts/derwent-haulage/history", "", []int{401, 401, 200, 403, 200}},
		{"GET /v1/status", "", []int{401, 401, 403, 403}},
		{"GET /v1/explain/" + id, "", []int{401, 401}},
		{"GET /v1/incidents", "", []int{401, 401, 403, 403}},
		{"DELETE /v1/jobs/burnie-a.00", "", []int{401, 401, 404, 404, 404}},
		{"DELETE /v1/jobs/" + id, "", []int{401, 401, 202, 404, 202}},
	} {
		for i, status := range c.statuses {
			actual, body := call(c.route, tokens()[i], c.body)
			require.Equal(t, status, actual, "%s by %q: %s", c.route, tokens()[i], body)
		}
	}
	_, list := call("GET /v1/jobs?place=burnie-a", "other", "")
	require.NotContains(t, list, id)
	_, hidden := call("GET /v1/jobs/"+id, "other", "")
	_, missing := call("GET /v1/jobs/burnie-a.00", "other", "")
	require.Equal(t, strings.Replace(missing, "burnie-a.00", id, 1), hidden, "a foreign job answers like none")
}
