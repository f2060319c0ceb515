// Package supervisor keeps a panic in one part of a process from ending the
// process, which also serves callers and other hosts.
//
// # Usage
//
//	s := supervisor.New(clock, onError)
//	err := s.Try("term", func() error { return term.Run(ctx) })
//	s.Keep(ctx, "catalog", func() { follower.Run(ctx) })
//
// A panic becomes an error with the stack of the goroutine in which it began.
package supervisor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"

	"primrosespar.example/primrosespar"
)

// restartDelay is the wait before a part that panicked runs again.
const restartDelay = time.Second

// Supervisor runs parts of a process. It is safe for concurrent use.
type Supervisor struct {
	clock   primrosespar.Clock
	onError func(part string, err error)
}

// New returns a Supervisor that passes each panic to onError.
func New(clock primrosespar.Clock, onError func(part string, err error)) *Supervisor {
	return &Supervisor{clock: clock, onError: onError}
}

// Try runs f and returns its error, or an error that describes its panic.
func (s *Supervisor) Try(part string, f func() error) error {
	var err error
	recovered := panics.Try(func() { err = f() })
	if recovered == nil {
		return err
	}
	err = eris.Wrapf(recovered.AsError(), "%s panicked", part)
	s.onError(part, err)
	return err
}

// Keep runs f until it returns, and runs it again after a panic unless the
// context has ended.
func (s *Supervisor) Keep(ctx context.Context, part string, f func() error) error {
	for {
		var returned bool
		err := s.Try(part, func() error {
			err := f()
			returned = true
			return err
		})
		if returned || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), part)
		case <-s.clock.After(restartDelay):
		}
	}
}
