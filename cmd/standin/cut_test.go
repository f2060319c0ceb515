package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTasksOfCutOffRegionRunOnce guards against a task that runs, or has
// succeeded, behind a cut of its holder's region while another host starts it
// again.
func TestTasksOfCutOffRegionRunOnce(t *testing.T) {
	dir := buildPrograms(t)
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "standin"), "cut",
		"--product", filepath.Join(dir, "primrosespar"), "--keep", t.TempDir()).CombinedOutput()
	require.NoError(t, err, string(out))
	t.Log(string(out))
}
