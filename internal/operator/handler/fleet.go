package handler

import (
	"context"

	"primrosespar.example/primrosespar"
)

// FleetCommands are the commands for a fleet. They query a host at its metrics
// address, which --server has to name.
type FleetCommands struct {
	Status  fleetStatus  `cmd:"" help:"Show what a host knows of the fleet; --server is its metrics address."`
	Explain fleetExplain `cmd:"" help:"Explain where a job stands and what it waits for; --server is the metrics address of the holder."`
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
