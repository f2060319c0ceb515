package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startLimit bounds the time until a process listens.
const startLimit = 10 * time.Second

// process is one child process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// processes starts children and ends all of them.
type processes struct {
	dir string

	mu  sync.Mutex
	all []*process
}

// start runs the program and returns once a line of the stream satisfies
// found. The rest of the output goes to a file in the directory.
func (p *processes) start(ctx context.Context, name, program string, args []string, found func(line []byte) bool) (*process, error) {
	// A restarted process adds to the log of its predecessor.
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	read, write := io.Pipe()
	cmd := exec.Command(program, args...) //nolint:noctx // ended by stop, which waits for a graceful end
	cmd.Stdout = write
	cmd.Stderr = write
	// The children end with this process, also if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	child := &process{name: name, cmd: cmd, done: make(chan struct{})}
	p.mu.Lock()
	p.all = append(p.all, child)
	p.mu.Unlock()
	ready := make(chan struct{})
	go copyLines(read, log, found, ready)
	go func() {
		_ = cmd.Wait()
		_ = write.Close()
		close(child.done)
	}()
	select {
	case <-ready:
		return child, nil
	case <-child.done:
		return nil, eris.Errorf("%s ended at its start; see %s", name, log.Name())
	case <-time.After(startLimit):
		return nil, eris.Errorf("%s does not listen after %s", name, startLimit)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// copyLines writes the output to the log and closes ready at the first line
// that satisfies found.
func copyLines(from io.Reader, log io.WriteCloser, found func([]byte) bool, ready chan struct{}) {
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	waiting := true
	for lines.Scan() {
		_, _ = log.Write(append(bytes.Clone(lines.Bytes()), '\n'))
		if waiting && found(lines.Bytes()) {
			waiting = false
			close(ready)
		}
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// stop ends all processes, gracefully where they manage within the limit.
func (p *processes) stop(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, child := range p.all {
		child.signal(syscall.SIGCONT)
		child.signal(syscall.SIGTERM)
	}
	expired := time.After(limit)
	for _, child := range p.all {
		select {
		case <-child.done:
		case <-expired:
			p.kill()
			return
		}
	}
}

func (p *processes) kill() {
	for _, child := range p.all {
		child.signal(syscall.SIGKILL)
	}
	for _, child := range p.all {
		<-child.done
	}
}

// jsonLine returns a test for a line that decodes into the value and passes.
func jsonLine[T any](into *T, passes func(T) bool) func([]byte) bool {
	return func(line []byte) bool {
		var value T
		if json.Unmarshal(line, &value) != nil || !passes(value) {
			return false
		}
		*into = value
		return true
	}
}
