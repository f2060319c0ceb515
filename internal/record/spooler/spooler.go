// Package spooler is a writer for log lines that never blocks its callers. It
// keeps a bounded number of lines and counts those that it had to drop.
//
// # Usage
//
//	s := spooler.New(os.Stdout)
//	defer s.Close()
//	log.SetOutput(s)
//	dropped := s.Dropped()
package spooler

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// Bounds of what waits to be written.
const (
	maxQueuedLines = 2048
	bufferSize     = 16 << 10
)

// Spooler is an io.Writer that is safe for concurrent use. Each Write is one
// line.
type Spooler struct {
	out      *bufio.Writer
	lines    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
	running  conc.WaitGroup
	dropped  atomic.Uint64
}

// New returns a Spooler that writes to out.
func New(out io.Writer) *Spooler {
	s := &Spooler{
		out:   bufio.NewWriterSize(out, bufferSize),
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
	}
	s.running.Go(s.run)
	return s
}

// Write keeps a copy of the line or drops it; it never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Spooler) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits. Lines written later are lost.
func (s *Spooler) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	s.running.Wait()
	return s.out.Flush()
}

// run writes lines and flushes whenever none waits.
func (s *Spooler) run() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			for {
				select {
				case line := <-s.lines:
					s.write(line)
				default:
					return
				}
			}
		}
	}
}

// write writes one line; a line that the output refuses counts as dropped.
// The buffer is flushed between lines only, so that no line is cut in two.
func (s *Spooler) write(line []byte) {
	if len(line) > s.out.Available() {
		if err := s.out.Flush(); err != nil {
			s.dropped.Add(1)
		}
	}
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
	if len(s.lines) == 0 {
		if err := s.out.Flush(); err != nil {
			s.dropped.Add(1)
		}
	}
}
