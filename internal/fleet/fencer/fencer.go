// Package fencer gives out the fencing tokens that a term of the lease holder
// uses with each worker.
//
// A worker carries out an order of any token that is not lower than the highest
// it has seen. Orders that got no answer may be carried out seconds later, also
// by a later lifetime of the worker under the same name, to which the clock
// readings in them mean nothing. So the token is raised with each new lifetime:
// once the worker has seen it, it refuses what was meant for an earlier one.
//
// # Usage
//
//	f := fencer.New(term)
//	token := f.Token("w")
//	f.Raise("w") // the worker has restarted
package fencer

import (
	"sync"

	"primrosespar.example/primrosespar"
)

// Stride is the distance between the tokens of two terms. The tokens between
// them are those of later lifetimes of workers.
const Stride = 64

// Fencer holds the tokens of one term. It is safe for concurrent use.
type Fencer struct {
	term primrosespar.Token

	mu sync.Mutex
	// raised counts the new lifetimes of workers in this term.
	raised map[primrosespar.Worker]primrosespar.Token
}

// New returns the Fencer of the term with the token.
func New(term primrosespar.Token) *Fencer {
	return &Fencer{term: term, raised: map[primrosespar.Worker]primrosespar.Token{}}
}

// Token returns the token for orders to the worker.
func (f *Fencer) Token(worker primrosespar.Worker) primrosespar.Token {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term + f.raised[worker]
}

// Raise raises the token for orders to the worker, which has restarted. The
// highest token of the term stays for all further lifetimes.
func (f *Fencer) Raise(worker primrosespar.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raised[worker] = min(f.raised[worker]+1, Stride-1)
}
