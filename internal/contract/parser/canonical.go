package parser

import (
	"github.com/BurntSushi/toml"

	"primrosespar.example/primrosespar"
)

// document is the TOML form of a contract.
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

// placeDocument is the TOML form of a place.
type placeDocument struct {
	Place string `toml:"place"`
	Share int    `toml:"share"`
}

// classDocument is the TOML form of a class.
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

// offlineDocument is the TOML form of the offline terms of a class.
type offlineDocument struct {
	RatePerSecond float64 `toml:"rate_per_second"`
	Concurrency   int     `toml:"concurrency"`
}

// guaranteeDocument is the TOML form of a guarantee.
type guaranteeDocument struct {
	Place string `toml:"place"`
	Block int    `toml:"block"`
	Count int    `toml:"count"`
}

// Canonical returns the contract as a TOML document with all keys in a fixed
// order. Parse returns the same contract for the result if the contract is
// valid.
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

// newClassDocument returns the TOML form of the terms of one class.
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
