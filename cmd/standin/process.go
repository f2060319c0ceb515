package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout is the time within which a process must be ready.
const startTimeout = 10 * time.Second

// process is one child process.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed once the process has ended.
	done chan struct{}
}

// processGroup starts child processes and stops all of them.
type processGroup struct {
	// dir is where the log files are.
	dir string

	mu       sync.Mutex
	children []*process
}

// start starts the program and returns once a line of its output satisfies
// isReady. All output goes to a log file.
func (p *processGroup) start(ctx context.Context, name, program string, args []string, isReady func(line []byte) bool) (*process, error) {
	// A restarted process appends to the log of its predecessor.
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	reader, writer := io.Pipe()
	cmd := exec.Command(program, args...) //nolint:noctx // stop ends it gracefully
	cmd.Stdout = writer
	cmd.Stderr = writer
	// The kernel kills the children when this process ends, also if it is
	// killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	child := &process{name: name, cmd: cmd, done: make(chan struct{})}
	p.mu.Lock()
	p.children = append(p.children, child)
	p.mu.Unlock()
	ready := make(chan struct{})
	go copyLines(reader, log, isReady, ready)
	go func() {
		_ = cmd.Wait()
		_ = writer.Close()
		close(child.done)
	}()
	select {
	case <-ready:
		return child, nil
	case <-child.done:
		return nil, eris.Errorf("%s exited before it was ready; see %s", name, log.Name())
	case <-time.After(startTimeout):
		return nil, eris.Errorf("%s was not ready after %s", name, startTimeout)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// copyLines copies the output to the log and closes ready at the first line
// that satisfies isReady.
func copyLines(reader io.Reader, log io.WriteCloser, isReady func([]byte) bool, ready chan struct{}) {
	defer func() { _ = log.Close() }()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, 1<<20)
	waiting := true
	for scanner.Scan() {
		_, _ = log.Write(append(bytes.Clone(scanner.Bytes()), '\n'))
		if waiting && isReady(scanner.Bytes()) {
			waiting = false
			close(ready)
		}
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// sockets returns the number of open sockets and pipes of the process.
func (p *process) sockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

// peakMemory returns the largest resident memory of the process so far, in
// bytes, and whether it is still running.
func (p *process) peakMemory() (int64, bool) {
	select {
	case <-p.done:
		return 0, false
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(status) {
		var kilobytes int64
		if _, err := fmt.Sscanf(string(line), "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, true
		}
	}
	return 0, false
}

// stop sends SIGTERM to all processes, also to suspended ones, and kills all of
// them if any is still running after the timeout.
func (p *processGroup) stop(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, child := range p.children {
		child.signal(syscall.SIGCONT)
		child.signal(syscall.SIGTERM)
	}
	expired := time.After(timeout)
	for _, child := range p.children {
		select {
		case <-child.done:
		case <-expired:
			p.kill()
			return
		}
	}
}

// kill kills all processes and waits for their end.
func (p *processGroup) kill() {
	for _, child := range p.children {
		child.signal(syscall.SIGKILL)
	}
	for _, child := range p.children {
		<-child.done
	}
}

// matchJSONLine returns a function that decodes a line as JSON and reports
// whether accepts approves the value. An approved value is stored in target.
func matchJSONLine[T any](target *T, accepts func(T) bool) func([]byte) bool {
	return func(line []byte) bool {
		var value T
		if json.Unmarshal(line, &value) != nil || !accepts(value) {
			return false
		}
		*target = value
		return true
	}
}
