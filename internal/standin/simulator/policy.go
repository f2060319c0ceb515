package simulator

import (
	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// Policy is a configuration of the scheduler and its catalog.
type Policy struct {
	Name string
	// Catalog changes the contracts and queues, if it is not nil.
	Catalog func(*primrosespar.Catalog)
	// Options are options of the scheduler.
	Options []scheduler.Option
}

// Policies returns the policies to compare. The first is the product's own.
func Policies() []Policy {
	return []Policy{
		{Name: "contracts"},
		{Name: "no_reserve", Options: []scheduler.Option{scheduler.WithReserve(0)}},
		{Name: "no_guarantees", Catalog: func(c *primrosespar.Catalog) {
			for i := range c.Contracts {
				c.Contracts[i].Reserved = 0
			}
		}},
		{Name: "one_priority", Catalog: func(c *primrosespar.Catalog) {
			for i := range c.Queues {
				c.Queues[i].Priority = 1
			}
		}},
	}
}
