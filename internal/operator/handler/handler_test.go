package handler_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

const secret = "test-token-which-is-long"

// run runs one command line and returns the exit code and both outputs.
func run(t *testing.T, server string, args ...string) (int, string, string) {
	t.Setenv("PRIMROSESPAR_TOKEN", secret)
	var cli handler.Commands
	parser, err := kong.New(&cli, handler.KongOptions()...)
	require.NoError(t, err)
	ctx, err := parser.Parse(append(args, "--server", server))
	require.NoError(t, err)
	var out, diagnostics bytes.Buffer
	code := handler.Run(ctx, &cli, &out, &diagnostics)
	require.NotContains(t, out.String()+diagnostics.String(), secret)
	return code, out.String(), diagnostics.String()
}

// serve answers with the status and body and keeps the headers of the requests.
func serve(t *testing.T, status int, body any) (string, chan http.Header) {
	seen := make(chan http.Header, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- r.Header
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.URL, seen
}

const document = "../../../examples/coop/huon-carriers.contract.toml"

// TestConflictGivesItsExitCode guards against a refusal that scripts take for
// success, and against a call without token, version or amendment id.
func TestConflictGivesItsExitCode(t *testing.T) {
	url, seen := serve(t, http.StatusConflict, caller.Refusal{
		Code: primrosespar.CodeVersionConflict, Name: "version_conflict", Message: "has version 5, names 3", Ran: primrosespar.RanNot,
	})
	code, _, diagnostics := run(t, url, "contract", "apply", document, "--base", "3")
	require.Equal(t, 6, code)
	require.Equal(t, "primrosespar: version_conflict: has version 5, names 3\n", diagnostics)
	require.Len(t, seen, 1)
	header := <-seen
	require.Equal(t, "Bearer "+secret, header.Get("Authorization"))
	require.Equal(t, "3", header.Get(caller.HeaderIfMatch))
	require.NotEmpty(t, header.Get(caller.HeaderAmendmentID))
}

// TestLostAnswerIsSentAgainWithTheSameID guards against a second amendment
// after a lost answer and against an unknown outcome that is reported as known.
func TestLostAnswerIsSentAgainWithTheSameID(t *testing.T) {
	url, seen := serve(t, 0, nil)
	code, _, diagnostics := run(t, url, "contract", "apply", document, "--base", "3")
	require.Equal(t, 4, code)
	require.Contains(t, diagnostics, "it may have taken effect")
	require.Len(t, seen, 3)
	first, _, last := <-seen, <-seen, <-seen
	require.Equal(t, first.Get(caller.HeaderAmendmentID), last.Get(caller.HeaderAmendmentID))
	require.Empty(t, first.Get(caller.HeaderResent))
	require.Equal(t, "1", last.Get(caller.HeaderResent))
}

// TestDeleteNamesItsVersion guards against an end of a contract that names no
// version or id, or that is shown like a contract in force.
func TestDeleteNamesItsVersion(t *testing.T) {
	var method string
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method, header = r.Method+" "+r.URL.Path, r.Header
		_ = json.NewEncoder(w).Encode(caller.ContractAnswer{Account: "nord", Version: 4, State: "accepted", Deleted: true})
	}))
	defer server.Close()
	code, out, _ := run(t, server.URL, "contract", "delete", "nord", "--base", "3")
	require.Zero(t, code)
	require.Equal(t, "DELETE /v1/contracts/nord", method)
	require.Equal(t, "3", header.Get(caller.HeaderIfMatch))
	require.NotEmpty(t, header.Get(caller.HeaderAmendmentID))
	require.Contains(t, out, "accepted, ended")
}

// TestOutputs guards against JSON that another program cannot read back and
// against tables that lack the columns.
func TestOutputs(t *testing.T) {
	want := caller.JobsAnswer{Jobs: []caller.JobAnswer{{ID: "j1", Account: "nord", State: primrosespar.GangRunning, Shape: primrosespar.Shape{Members: 4, Block: 8}}}}
	url, _ := serve(t, http.StatusOK, want)
	code, out, _ := run(t, url, "job", "list", "--output", "json")
	require.Zero(t, code)
	var got caller.JobsAnswer
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Equal(t, want, got)
	_, out, _ = run(t, url, "job", "list")
	require.Contains(t, out, "ID  ACCOUNT  CLASS")
	require.Contains(t, out, "4x8")
}

// TestDiff guards against a comparison that loses or invents lines.
func TestDiff(t *testing.T) {
	require.Equal(t, "  a\n- b\n+ c\n  d\n", printer.Diff("a\nb\nd", "a\nc\nd"))
}

// TestCodesManualIsCurrent guards against a manual that differs from the code.
// Set UPDATE_DOCS=1 to write it.
func TestCodesManualIsCurrent(t *testing.T) {
	const path = "../../../docs/codes.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(path, []byte(printer.CodesManual()), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, printer.CodesManual(), string(text))
}

// TestServerMustBeURL guards against a mistyped address that is reported as a
// host that gives no answer.
func TestServerMustBeURL(t *testing.T) {
	for _, server := range []string{"nonsense", "127.0.0.1:7102", "ftp://h", "http://"} {
		code, _, diagnostics := run(t, server, "status")
		require.Equal(t, 2, code, server)
		require.Contains(t, diagnostics, "--server is")
	}
}
