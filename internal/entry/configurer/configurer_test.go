package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/checker"
	"primrosespar.example/primrosespar/internal/contract/parser"
	"primrosespar.example/primrosespar/internal/entry/configurer"
)

// TestExamplesAreValid guards against example files that the parsers refuse and
// against example contracts whose guarantees do not fit into the places of
// their installation.
func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"bascule", "coop"} {
		files, err := filepath.Glob("../../../examples/" + user + "/*.toml")
		require.NoError(t, err)
		require.Len(t, files, 7)
		var contracts []primrosespar.Contract
		var workers []primrosespar.WorkerEntry
		for _, file := range files {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			if strings.HasSuffix(file, ".contract.toml") {
				c, err := parser.Parse(data)
				require.NoError(t, err, file)
				contracts = append(contracts, c)
				continue
			}
			s, err := configurer.Parse(data)
			require.NoError(t, err, file)
			require.Equal(t, 6*time.Second, s.Timeouts.Lease)
			// A place has two racks of 8 workers with 8 accelerators each,
			// about a third of the 50 workers of an installation.
			for i := range 16 {
				workers = append(workers, primrosespar.WorkerEntry{
					Place: s.Place, Rack: primrosespar.Rack(fmt.Sprint(i / 8)), Position: i % 8, Accelerators: 8,
				})
			}
		}
		require.Empty(t, checker.New(workers).Check(contracts...))
	}
}

// FuzzParse guards against settings that make the parser panic or return an
// error without its code.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../../../examples/coop/burnie-a.toml")
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("listen = 1\ncallers = [[]]\n[[places]]\nplace = []\n[tls]\nkey = \"k\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := configurer.Parse(data); err != nil {
			require.Equal(t, primrosespar.CodeBadRequest, primrosespar.CodeOf(err))
		}
	})
}

// TestAllErrorsAreReported guards against errors that are lost, and against
// errors or printed settings that contain a token.
func TestAllErrorsAreReported(t *testing.T) {
	data, err := os.ReadFile("../../../examples/coop/burnie-a.toml")
	require.NoError(t, err)
	text := strings.NewReplacer(
		"-1\"\nplace = \"burnie-a\"", "-1\"\nplace = \"hobart\"",
		"127.0.0.1:8101", "localhost:8101",
		"example-caller-derwent-haulage", "short-secret",
		"[[operators]]", "[tls]\ncertificate = \"a.pem\"\n[timeouts]\nlease_renew = \"5s\"\n[[operators]]",
	).Replace(string(data)) + "operater = \"x\"\n"
	_, err = configurer.Parse([]byte(text))
	for _, want := range []string{
		`line 3: place: "hobart" is not among the places`,
		`listen.callers: "localhost:8101" is not an IP address and port`,
		"callers[0].token: the value is out of range; the bounds are 16 to 256 characters",
		"tls.key: missing; TLS needs all three files",
		"timeouts.lease_renew: 5s is above half of lease, which is 6s",
		`operators[0].operater: unknown key; the nearest known key is "operator"`,
	} {
		require.ErrorContains(t, err, want)
	}
	require.NotContains(t, err.Error(), "short-secret")
	s, err := configurer.Parse(data)
	require.NoError(t, err)
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", s, s, s), "example-caller")
	printed, err := configurer.Canonical(s)
	require.NoError(t, err)
	require.NotContains(t, string(printed), "example-caller")
	for _, f := range configurer.Fields() {
		for _, subfield := range f.Fields {
			require.Contains(t, string(printed), `"`+subfield.Key+`":`, "the canonical form lacks a key")
		}
	}
}

// TestManualIsCurrent guards against a manual that differs from the parser.
// Set UPDATE_DOCS=1 to write it.
func TestManualIsCurrent(t *testing.T) {
	const path = "../../../docs/settings.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(path, []byte(configurer.Manual()), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, configurer.Manual(), string(text))
}
