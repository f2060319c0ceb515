package main_test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// buildPrograms builds both programs and returns their directory.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	for _, program := range []string{"standin", "primrosespar"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, program), "./cmd/"+program)
		cmd.Dir = filepath.Join("..", "..")
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s", out)
	}
	return dir
}

// TestTrial guards against violated guarantees of real processes under faults:
// repeated runs, false refusals and wrong answers. Each fault mix runs with a
// fixed seed, and a trial without faults or without answered and replayed calls
// fails too.
func TestTrial(t *testing.T) {
	dir := buildPrograms(t)
	for _, mix := range []string{"store", "hosts", "place", "upstream", "stop", "workers"} {
		t.Run(mix, func(t *testing.T) {
			t.Parallel()
			historyDir := t.TempDir()
			cmd := exec.Command(filepath.Join(dir, "standin"), "trial", "--seed", "1", "--faults", mix, "--load", "11s",
				"--keep", historyDir, "--program", filepath.Join(dir, "primrosespar"), "--examples", filepath.Join("..", "..", "examples"))
			out, err := cmd.Output()
			require.NoError(t, err, "%s", out)
			lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
			var totals struct {
				Outcomes map[string]int `json:"outcomes"`
				Windows  map[string]int `json:"windows"`
			}
			require.NoError(t, json.Unmarshal(lines[len(lines)-1], &totals))
			require.NotEmpty(t, totals.Windows)
			require.NotZero(t, totals.Outcomes["answered"])
			require.NotZero(t, totals.Outcomes["replayed"])
		})
	}
}
