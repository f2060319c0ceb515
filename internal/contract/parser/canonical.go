package parser

import (
	"github.com/BurntSushi/toml"

	"primrosespar.example/primrosespar"
)

type document struct {
	Account         string              `toml:"account"`
	PublicName      string              `toml:"public_name"`
	Weight          int                 `toml:"weight"`
	MaxAccelerators int                 `toml:"max_accelerators"`
	Retention       string              `toml:"retention"`
	Places          []placeDocument     `toml:"places"`
	Classes         []classDocument     `toml:"classes"`
	Guarantees      []guaranteeDocument `toml:"guarantees,omitempty"`
}

type placeDocument struct {
	Place string `toml:"place"`
	Share int    `toml:"share"`
}

type classDocument struct {
	Class         string          `toml:"class"`
	Kind          string          `toml:"kind"`
	Idempotent    bool            `toml:"idempotent"`
	Urgent        bool            `toml:"urgent"`
	Preemptible   bool            `toml:"preemptible"`
	Deadline      string          `toml:"deadline"`
	LatenessCost  int             `toml:"lateness_cost"`
	RatePerSecond float64         `toml:"rate_per_second"`
	Burst         int             `toml:"burst"`
	Concurrency   int             `toml:"concurrency"`
	Queue         int             `toml:"queue"`
	Offline       offlineDocument `toml:"offline"`
}

type offlineDocument struct {
	RatePerSecond float64 `toml:"rate_per_second"`
	Concurrency   int     `toml:"concurrency"`
}

type guaranteeDocument struct {
	Place string `toml:"place"`
	Block int    `toml:"block"`
	Count int    `toml:"count"`
}

// Canonical returns the document of the contract with every key in a fixed
// order. Parse of the result returns the same contract if it is valid.
func Canonical(c primrosespar.Contract) ([]byte, error) {
	d := document{
		Account:         string(c.Account),
		PublicName:      c.PublicName,
		Weight:          c.Weight,
		MaxAccelerators: c.MaxAccelerators,
		Retention:       c.Retention.String(),
	}
	for _, p := range c.Places {
		d.Places = append(d.Places, placeDocument{Place: string(p.Place), Share: p.Share})
	}
	for _, t := range c.Classes {
		d.Classes = append(d.Classes, newClassDocument(t))
	}
	for _, g := range c.Guarantees {
		d.Guarantees = append(d.Guarantees, guaranteeDocument{Place: string(g.Place), Block: g.Block, Count: g.Count})
	}
	return toml.Marshal(d)
}

// newClassDocument converts the terms of one class.
func newClassDocument(terms primrosespar.ClassTerms) classDocument {
	return classDocument{
		Class:         string(terms.Class),
		Kind:          string(terms.Kind),
		Idempotent:    terms.Idempotent,
		Urgent:        terms.Urgent,
		Preemptible:   terms.Preemptible,
		Deadline:      terms.Deadline.String(),
		LatenessCost:  terms.LatenessCost,
		RatePerSecond: terms.RatePerSecond,
		Burst:         terms.Burst,
		Concurrency:   terms.Concurrency,
		Queue:         terms.Queue,
		Offline:       offlineDocument{RatePerSecond: terms.Offline.RatePerSecond, Concurrency: terms.Offline.Concurrency},
	}
}
