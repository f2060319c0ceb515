// Package spooler provides an io.Writer for log lines that does not block on
// its output. It queues a bounded number of lines and counts those that it
// drops.
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

// Limits of the queue and of the output buffer.
const (
	maxQueuedLines = 2048
	bufferSize     = 16 << 10
)

// Spooler is an io.Writer that writes lines in the background. Each Write must
// be one whole line. It is safe for concurrent use.
type Spooler struct {
	out      *bufio.Writer
	lines    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
	running  conc.WaitGroup
	dropped  atomic.Uint64
}

// New returns a Spooler that writes to out. Close must be called to stop it.
func New(out io.Writer) *Spooler {
	s := &Spooler{
		out:   bufio.NewWriterSize(out, bufferSize),
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
	}
	s.running.Go(s.run)
	return s
}

// Write queues a copy of the line, or drops the line if the queue is full. It
// never fails.
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

// Close writes the queued lines and stops the Spooler. Later lines are lost.
func (s *Spooler) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	s.running.Wait()
	return s.out.Flush()
}

// run writes the queued lines until Close is called, and then those that are
// left.
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

// write writes one line to the buffer, and flushes the buffer if it has no room
// for the line or no other line is queued. It flushes between lines only, so
// that no line is split. A failed write counts as a dropped line.
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
