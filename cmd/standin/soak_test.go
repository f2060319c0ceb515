package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSoak guards against violations of the fleet scheduler's guarantees under
// faults, in one short seeded run with real processes. Longer runs with other
// seeds are started by hand: bin/standin soak --seed 7 --load 60s.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	for _, program := range []string{"primrosespar", "standin"} {
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, program), "primrosespar.example/primrosespar/cmd/"+program).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "standin"), "soak",
		"--product", filepath.Join(dir, "primrosespar"), "--seed", "1", "--load", "10s", "--hosts", "3", "--troubles", "basic").CombinedOutput()
	require.NoError(t, err, string(out))
	t.Log(string(out))
}
