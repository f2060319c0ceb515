package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSoak guards against violations of the fleet scheduler's guarantees under
// faults of single hosts, links, workers and services, in one short seeded run
// with real processes. Longer runs with other seeds are started by hand:
// bin/standin soak --seed 7 --load 60s.
func TestSoak(t *testing.T) {
	runSoak(t, "--seed", "1", "--load", "10s", "--hosts", "3", "--troubles", "basic")
}

// TestSoakOfAllTroubles guards against violations while regions are cut off,
// holders are killed at their commits, the store refuses rows, jobs are large or
// long, and callers ask for the jobs of others.
func TestSoakOfAllTroubles(t *testing.T) {
	runSoak(t, "--seed", "1", "--load", "20s")
}

// runSoak builds the programs and runs a soak, which has to find no violation.
func runSoak(t *testing.T, args ...string) {
	dir := buildPrograms(t)
	args = append([]string{"soak", "--product", filepath.Join(dir, "primrosespar")}, args...)
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "standin"), args...).CombinedOutput()
	require.NoError(t, err, string(out))
	t.Log(string(out))
}
