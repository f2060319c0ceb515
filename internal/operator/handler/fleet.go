package handler

import (
	"context"

	"primrosespar.example/primrosespar"
)

// FleetCommands are the commands for a fleet. They query a host at its metrics
// address, which --server has to name.
type FleetCommands struct {
	Status   fleetStatus   `cmd:"" help:"Show what a host knows of the fleet; --server is its metrics address."`
	Explain  fleetExplain  `cmd:"" help:"Explain where a job stands and what it waits for; --server is the metrics address of the holder."`
	Evacuate fleetEvacuate `cmd:"" help:"Send no more work to a place until it is restored; --server is the metrics address of any host."`
	Restore  fleetRestore  `cmd:"" help:"Take back that a place is evacuated; --server is the metrics address of any host."`
}

type fleetStatus struct{}

// Run shows the state of the fleet.
func (fleetStatus) Run(env *Env) error {
	answer, err := env.caller.Fleet(context.Background())
	if err != nil {
		return err
	}
	return env.printer.Fleet(answer)
}

type fleetExplain struct {
	Job string `arg:"" help:"Id of the job."`
}

// Run shows the state of the job.
func (c *fleetExplain) Run(env *Env) error {
	answer, err := env.caller.FleetJob(context.Background(), primrosespar.JobID(c.Job))
	if err != nil {
		return err
	}
	return env.printer.FleetJob(answer)
}

type fleetEvacuate struct {
	Place string `arg:"" help:"Place to empty. What runs there may end there."`
}

// Run requests the evacuation.
func (c *fleetEvacuate) Run(env *Env) error {
	answer, err := env.caller.Evacuate(context.Background(), primrosespar.Place(c.Place))
	if err != nil {
		return err
	}
	return env.printer.Evacuation(answer)
}

type fleetRestore struct {
	Place string `arg:"" help:"Place that may get work again."`
}

// Run takes the evacuation back.
func (c *fleetRestore) Run(env *Env) error {
	answer, err := env.caller.Restore(context.Background(), primrosespar.Place(c.Place))
	if err != nil {
		return err
	}
	return env.printer.Evacuation(answer)
}
