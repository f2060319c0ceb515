package handler

import (
	"context"

	"primrosespar.example/primrosespar"
)

// FleetCommands ask a host of a fleet. Its metrics address is the --server.
type FleetCommands struct {
	Status  fleetStatus  `cmd:"" help:"Show what a host knows of the fleet; --server is its metrics address."`
	Explain fleetExplain `cmd:"" help:"Explain where a job stands and what it waits for; --server is the metrics address of the holder."`
}

type fleetStatus struct{}

// Run shows the fleet.
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

// Run explains the job.
func (c *fleetExplain) Run(env *Env) error {
	answer, err := env.caller.FleetJob(context.Background(), primrosespar.JobID(c.Job))
	if err != nil {
		return err
	}
	return env.printer.FleetJob(answer)
}
