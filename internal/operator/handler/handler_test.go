package handler_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

const testToken = "test-token-which-is-long"

// run runs one command line and returns the exit code, stdout and stderr. The
// token must not appear in either.
func run(t *testing.T, server string, args ...string) (int, string, string) {
	t.Setenv("PRIMROSESPAR_TOKEN", testToken)
	var cli handler.Commands
	parser, err := kong.New(&cli, handler.KongOptions()...)
	require.NoError(t, err)
	ctx, err := parser.Parse(append(args, "--server", server))
	require.NoError(t, err)
	var stdout, stderr bytes.Buffer
	code := handler.Run(ctx, &cli, &stdout, &stderr)
	require.NotContains(t, stdout.String()+stderr.String(), testToken)
	return code, stdout.String(), stderr.String()
}

// startServer starts a server that responds with the status and body, and
// returns its URL and the request headers. With status 0 it drops the
// connection.
func startServer(t *testing.T, status int, body any) (string, chan http.Header) {
	headers := make(chan http.Header, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		headers <- r.Header
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.URL, headers
}

const contractFile = "../../../examples/coop/huon-carriers.contract.toml"

// TestConflictExitCode guards against a refusal with exit code 0, and against
// an amendment that is sent without token, base version or amendment ID.
func TestConflictExitCode(t *testing.T) {
	url, headers := startServer(t, http.StatusConflict, caller.Refusal{
		Code: primrosespar.CodeVersionConflict, Name: "version_conflict", Message: "has version 5, names 3", Ran: primrosespar.RanNot,
	})
	code, _, stderr := run(t, url, "contract", "apply", contractFile, "--base", "3")
	require.Equal(t, 6, code)
	require.Equal(t, "primrosespar: version_conflict: has version 5, names 3\n", stderr)
	require.Len(t, headers, 1)
	header := <-headers
	require.Equal(t, "Bearer "+testToken, header.Get("Authorization"))
	require.Equal(t, "3", header.Get(caller.HeaderIfMatch))
	require.NotEmpty(t, header.Get(caller.HeaderAmendmentID))
}

// TestAmendmentIsRetriedWithSameID guards against a second amendment when the
// response to the first is lost, and against an unknown outcome that is
// reported as known.
func TestAmendmentIsRetriedWithSameID(t *testing.T) {
	url, headers := startServer(t, 0, nil)
	code, _, stderr := run(t, url, "contract", "apply", contractFile, "--base", "3")
	require.Equal(t, 4, code)
	require.Contains(t, stderr, "it may have taken effect")
	require.Len(t, headers, 3)
	first, _, last := <-headers, <-headers, <-headers
	require.Equal(t, first.Get(caller.HeaderAmendmentID), last.Get(caller.HeaderAmendmentID))
	require.Empty(t, first.Get(caller.HeaderResent))
	require.Equal(t, "1", last.Get(caller.HeaderResent))
}

// TestDeleteSendsVersionAndID guards against a deletion that is sent without
// base version or amendment ID, or an ended contract that is shown as in force.
func TestDeleteSendsVersionAndID(t *testing.T) {
	var request string
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, header = r.Method+" "+r.URL.Path, r.Header
		_ = json.NewEncoder(w).Encode(caller.ContractAnswer{Account: "nord", Version: 4, State: "accepted", Deleted: true})
	}))
	defer server.Close()
	code, stdout, _ := run(t, server.URL, "contract", "delete", "nord", "--base", "3")
	require.Zero(t, code)
	require.Equal(t, "DELETE /v1/contracts/nord", request)
	require.Equal(t, "3", header.Get(caller.HeaderIfMatch))
	require.NotEmpty(t, header.Get(caller.HeaderAmendmentID))
	require.Contains(t, stdout, "accepted, ended")
}

// TestOutputFormats guards against JSON that does not decode to the response
// and against tables without the columns.
func TestOutputFormats(t *testing.T) {
	want := caller.JobsAnswer{Jobs: []caller.JobAnswer{{ID: "j1", Account: "nord", State: primrosespar.GangRunning, Shape: primrosespar.Shape{Members: 4, Block: 8}}}}
	url, _ := startServer(t, http.StatusOK, want)
	code, stdout, _ := run(t, url, "job", "list", "--output", "json")
	require.Zero(t, code)
	var got caller.JobsAnswer
	require.NoError(t, json.Unmarshal([]byte(stdout), &got))
	require.Equal(t, want, got)
	_, stdout, _ = run(t, url, "job", "list")
	require.Contains(t, stdout, "ID  ACCOUNT  CLASS")
	require.Contains(t, stdout, "4x8")
}

// TestDiff guards against a diff that omits or adds lines.
func TestDiff(t *testing.T) {
	require.Equal(t, "  a\n- b\n+ c\n  d\n", printer.Diff("a\nb\nd", "a\nc\nd"))
}

// TestCodesManualIsCurrent guards against a page of result codes that differs
// from the code. UPDATE_DOCS=1 rewrites the page.
func TestCodesManualIsCurrent(t *testing.T) {
	const path = "../../../docs/codes.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(path, []byte(printer.CodesManual()), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, printer.CodesManual(), string(text))
}

// TestServerMustBeURL guards against an invalid --server that is reported as a
// host that does not respond.
func TestServerMustBeURL(t *testing.T) {
	for _, server := range []string{"nonsense", "127.0.0.1:7102", "ftp://h", "http://"} {
		code, _, stderr := run(t, server, "status")
		require.Equal(t, 2, code, server)
		require.Contains(t, stderr, "--server is")
	}
}

// inspectCommand is a check of a configuration with given findings.
type inspectCommand struct {
	handler.Inspection
	draft primrosespar.CatalogDraft
}

// Run prints the findings. A document that is not empty has a syntax error.
func (c *inspectCommand) Run(env *handler.Env) error {
	return env.Inspect(c.Inspection, nil, func(data []byte) (primrosespar.CatalogDraft, []primrosespar.Finding, error) {
		if len(data) > 0 {
			return c.draft, nil, primrosespar.Fail(primrosespar.CodeBadSyntax, "line 3, column 4")
		}
		return c.draft, nil, nil
	})
}

// TestInspectionExitCode guards against a script that sends a configuration
// which cannot be read or has errors, and against one that warnings stop
// although they are allowed.
func TestInspectionExitCode(t *testing.T) {
	clean := primrosespar.CatalogDraft{Version: 1}
	warned := primrosespar.CatalogDraft{Version: 1, Accounts: []primrosespar.AccountDraft{{Account: "a"}}}
	empty, broken := filepath.Join(t.TempDir(), "empty"), filepath.Join(t.TempDir(), "broken")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	require.NoError(t, os.WriteFile(broken, []byte("x"), 0o600))
	for _, c := range []struct {
		draft  primrosespar.CatalogDraft
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{clean, []string{empty, "--strict"}, 0, "ok\n", ""},
		{warned, []string{empty}, 0, "account_without_key", ""},
		{warned, []string{empty, "--output", "json"}, 0, `"warnings": 1`, ""},
		{warned, []string{empty, "--strict"}, 2, "account_without_key", "errors 0, warnings 1"},
		{primrosespar.CatalogDraft{}, []string{empty}, 2, "no_version", "errors 1, warnings 0"},
		{clean, []string{empty, "--against", empty}, 2, "version_not_newer", "errors 1, warnings 0"},
		{clean, []string{broken}, 2, "", "line 3, column 4"},
		{clean, []string{empty, "--against", broken}, 2, "", "line 3, column 4"},
		{clean, []string{empty + "-missing"}, 2, "", "cannot read the file"},
	} {
		cli := struct {
			handler.Commands
			Check inspectCommand `cmd:""`
		}{Check: inspectCommand{draft: c.draft}}
		parser, err := kong.New(&cli, handler.KongOptions()...)
		require.NoError(t, err)
		ctx, err := parser.Parse(append([]string{"check"}, c.args...))
		require.NoError(t, err)
		var stdout, stderr bytes.Buffer
		require.Equal(t, c.code, handler.Run(ctx, &cli.Commands, &stdout, &stderr), c.args)
		require.Contains(t, stdout.String(), c.stdout)
		require.Contains(t, stderr.String(), c.stderr)
	}
}
