package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The crowd and the bounds of every test: the machine of the host allows 64 MB
// and, beside files, 200 descriptors.
const (
	crowdClients  = "400"
	crowdMemoryMB = "64"
	crowdMaxFDs   = "400"
)

// TestCrowd guards against hostile clients that end a host: its process has to
// live, stay within the memory and the descriptors of its machine, and accept
// the job of an ordinary client while their connections are open.
func TestCrowd(t *testing.T) {
	dir := buildPrograms(t)
	for _, kind := range []string{
		"large_heads", "endless_heads", "endless_field", "slow_heads", "empty_lines", "empty_lines_between",
		"whole_bodies", "stalled_bodies", "slow_bodies", "large_chunks", "small_chunks", "chunk_extensions", "trailers",
		"unread_answers", "silent", "mixed",
	} {
		t.Run(kind, func(t *testing.T) { playCrowd(t, dir, kind, "callers") })
	}
	for _, port := range []string{"readiness", "metrics", "peers"} {
		t.Run(port, func(t *testing.T) { playCrowd(t, dir, "mixed", port) })
	}
	t.Run("peers_stalled", func(t *testing.T) { playCrowd(t, dir, "stalled_messages", "peers") })
}

// Clients, and the machine of an entry host, whose pages promise 128 MB: it
// allows 100 connections for each HTTP address.
const (
	entryCrowdClients  = "400"
	entryCrowdMemoryMB = "128"
	entryCrowdMaxFDs   = "800"
)

// TestCrowdAtEntryHost guards against hostile clients that end an entry host.
func TestCrowdAtEntryHost(t *testing.T) {
	dir := buildPrograms(t)
	for name, args := range map[string][]string{
		"endless_heads": {"--kind", "endless_heads"}, "stalled_bodies": {"--kind", "stalled_bodies"},
		"whole_bodies": {"--kind", "whole_bodies"}, "small_chunks": {"--kind", "small_chunks"}, "silent": {"--kind", "silent"}, "mixed": {"--kind", "mixed"},
		"operators": {"--kind", "mixed", "--port", "operators"},
	} {
		t.Run(name, func(t *testing.T) { playEntryCrowd(t, dir, args...) })
	}
}

// TestCrowdAtPeersOfEntryHost guards against messages to an entry host that
// never end.
func TestCrowdAtPeersOfEntryHost(t *testing.T) {
	playEntryCrowd(t, buildPrograms(t), "--kind", "stalled_messages", "--port", "peers")
}

// playEntryCrowd lets clients connect to an entry host, which has to hold.
func playEntryCrowd(t *testing.T, dir string, args ...string) {
	args = append([]string{
		"crowd-entry", "--clients", entryCrowdClients, "--memory-mb", entryCrowdMemoryMB, "--max-fds", entryCrowdMaxFDs,
		"--product", filepath.Join(dir, "primrosespar"), "--examples", filepath.Join("..", "..", "examples"), "--keep", t.TempDir(),
	}, args...)
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "standin"), args...).CombinedOutput()
	assert.NoError(t, err, string(out))
	t.Log(string(out))
}

// playCrowd lets clients of the kind connect to the port of a host, which has to
// hold.
func playCrowd(t *testing.T, dir, kind, port string) {
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "standin"), "crowd", "--kind", kind, "--port", port,
		"--clients", crowdClients, "--memory-mb", crowdMemoryMB, "--max-fds", crowdMaxFDs,
		"--product", filepath.Join(dir, "primrosespar"), "--keep", t.TempDir()).CombinedOutput()
	assert.NoError(t, err, string(out))
	t.Log(string(out))
}
